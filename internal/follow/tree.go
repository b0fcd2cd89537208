// Package follow decides from which hosts a host takes the replicated state.
// The hosts of a zone form a tree below the control hosts, so that the cost
// of a change at any host does not grow with the number of hosts. It is pure:
// no I/O, clock or randomness.
package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/model"
)

// Shape of the tree of one zone.
const (
	roots  = 2 // hosts of a zone that take the state from the control hosts
	fanOut = 8 // hosts that take the state from one host
)

// Source is a host from which the state can be taken.
type Source struct {
	Name string
	RPC  string
}

// Sources returns the hosts from which self takes the state, best first. The
// first ones are its parents in the tree of its zone, the last ones are the
// control hosts. A source of the same zone always has a lower rank than self,
// so hosts that agree on the members form no cycle.
func Sources(self string, hosts []model.Host, control []Source) []Source {
	zone := zoneMembers(self, hosts)
	rank := slices.IndexFunc(zone, func(h model.Host) bool { return h.Name == self })
	central := byAffinity(self, control)
	if rank < roots {
		return central // also where self is not yet a known member
	}
	var list []Source
	for _, r := range parentRanks(rank) {
		list = append(list, Source{Name: zone[r].Name, RPC: zone[r].RPC})
	}
	return append(list, central...)
}

// parentRanks returns the ranks of the parent, of the host after it as a
// replacement, and of the roots.
func parentRanks(rank int) []int {
	parent := (rank - roots) / fanOut
	ranks := []int{parent}
	for _, r := range []int{parent + 1, 0, 1} {
		if r < rank && !slices.Contains(ranks, r) {
			ranks = append(ranks, r)
		}
	}
	return ranks
}

// zoneMembers returns the live hosts of self's zone in the order of their
// ranks. Control hosts have no rank: they hold the log.
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

// byAffinity orders the sources by a hash of self and their names, so that
// hosts spread evenly over them.
func byAffinity(self string, sources []Source) []Source {
	list := slices.Clone(sources)
	slices.SortFunc(list, func(a, b Source) int {
		return cmp.Compare(hash(self+"\x00"+a.Name), hash(self+"\x00"+b.Name))
	})
	return list
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
