// Package follow decides from which hosts a host pulls the replicated state. A pull
// asks for the changes after the host's own revision of the state. The hosts of a zone
// form a tree below the control hosts, which hold the replicated log, so that the work
// of one host per change does not grow with the number of hosts in its zone. The
// package is pure: no I/O, clock or randomness.
package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/model"
)

// Shape of the tree of one zone.
const (
	rootsPerZone = 2 // hosts of a zone that pull from the control hosts
	fanOut       = 8 // hosts of a zone that have the same host as parent
)

// Source is a host from which the state can be pulled.
type Source struct {
	Name string
	RPC  string
}

// Sources returns the hosts from which self may pull the state, best first. The
// parents of self in the tree of its zone come before the control hosts. A source in
// the same zone always has a lower rank (see zoneMembers) than self, so hosts that
// agree on the members form no cycle.
func Sources(self string, hosts []model.Host, control []Source) []Source {
	zone := zoneMembers(self, hosts)
	rank := slices.IndexFunc(zone, func(h model.Host) bool { return h.Name == self })
	controlHosts := orderByHash(self, control)
	if rank < rootsPerZone {
		return controlHosts // includes rank -1, of a control host or a host that is not yet a member
	}
	var list []Source
	for _, r := range parentRanks(rank) {
		list = append(list, Source{Name: zone[r].Name, RPC: zone[r].RPC})
	}
	return append(list, controlHosts...)
}

// parentRanks returns the ranks of the parent, of the next host as its replacement, and
// of the two roots.
func parentRanks(rank int) []int {
	parent := (rank - rootsPerZone) / fanOut
	ranks := []int{parent}
	for _, r := range []int{parent + 1, 0, 1} {
		if r < rank && !slices.Contains(ranks, r) {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

// zoneMembers returns the hosts of self's zone that are alive, and self, ordered by a
// hash of their names. The rank of a host is its index in this list. Control hosts have
// no rank, since they hold the log.
func zoneMembers(self string, hosts []model.Host) []model.Host {
	i := slices.IndexFunc(hosts, func(h model.Host) bool { return h.Name == self })
	if i < 0 {
		return nil
	}
	zone := hosts[i].Zone
	var list []model.Host
	for _, h := range hosts {
		usable := h.State == model.Alive || h.Name == self
		if h.Zone == zone && usable && !h.Control {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b model.Host) int {
		return cmp.Or(cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// orderByHash orders the sources by a hash of self and the name of the source, so that
// hosts spread evenly over the sources.
func orderByHash(self string, sources []Source) []Source {
	list := slices.Clone(sources)
	slices.SortFunc(list, func(a, b Source) int {
		return cmp.Compare(hash(self+"\x00"+a.Name), hash(self+"\x00"+b.Name))
	})
	return list
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
