package homes

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// view is a table with the indexes that a tick and the calls need.
type view struct {
	table      *table.Table
	members    []fence.Member            // hosts that may be homes: neither dead nor leaving
	byName     map[string]table.Host     // hosts that are not dead
	zones      map[string][]fence.Member // members by zone
	homes      map[string]string         // home of each backend server's slots, by unit
	backends   map[string]table.Backend  // backend servers of the table, by unit
	shardPairs map[string]pair           // home and backup of each shard, by unit
	ownUnits   []string                  // slot units of which this host is the home
	now        time.Time
}

// pair is the home and the backup of a shard.
type pair struct{ home, backup fence.Member }

func (v view) hostNames() []string {
	return slices.Sorted(maps.Keys(v.byName))
}

// leaseVoters returns the hosts of which a majority must agree to the lease of the
// backend server's home: those in the backend server's zone, or all hosts if none
// is in that zone.
func (v view) leaseVoters(b table.Backend) []string {
	var names []string
	for _, m := range v.homeCandidates(b) {
		names = append(names, m.Name)
	}
	return names
}

// homeCandidates returns the hosts that may be the home of the backend server.
func (v view) homeCandidates(b table.Backend) []fence.Member {
	if members := v.zones[b.Zone]; len(members) > 0 {
		return members
	}
	return v.members
}

// initialProcesses returns the processes of the hosts of the table if no other
// process was ever an entry host, else nil. That holds if each number assigned so
// far belongs to a listed host or backend server, no host has returned to the table,
// and none is dead.
func (v view) initialProcesses(r *replica.Replica) []string {
	var next uint32
	r.Read(func(s *state.State) {
		if s.Revision == v.table.Revision {
			next = s.Placement.NextNum
		}
	})
	if len(v.table.Hosts)+len(v.table.Backends) != int(next)-1 {
		return nil
	}
	var processes []string
	for _, host := range v.table.Hosts {
		if host.Returns != 0 || host.State == model.Dead {
			return nil
		}
		processes = append(processes, v.process(host.Name))
	}
	return processes
}

// isLeaseVoter reports whether a host is a lease voter for a backend server.
func (v view) isLeaseVoter(host string, b table.Backend) bool {
	return slices.Contains(v.leaseVoters(b), host)
}

func (v view) slotHome(b table.Backend) string { return v.homes[slotUnitName(b)] }

// process returns the process of a host that is not dead, or "" for others.
func (v view) process(name string) string {
	host, ok := v.byName[name]
	if !ok {
		return ""
	}
	return processName(name, host.Incarnation)
}

// view returns the view of the current table. Its indexes are computed once per
// table.
func (h *Homes) view() view {
	t := h.Replica.Table()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cachedView.table != t {
		h.cachedView = newView(t, h.Name)
	}
	v := h.cachedView
	v.now = h.Clock.Now()
	return v
}

func newView(t *table.Table, self string) view {
	v := view{
		table: t, byName: map[string]table.Host{}, zones: map[string][]fence.Member{},
		homes: map[string]string{}, backends: map[string]table.Backend{}, shardPairs: map[string]pair{},
	}
	for _, host := range t.Hosts {
		if host.State == model.Dead {
			continue
		}
		v.byName[host.Name] = host
		if host.State != model.Leaving {
			m := fence.Member{Name: host.Name, Zone: host.Zone}
			v.members = append(v.members, m)
			v.zones[host.Zone] = append(v.zones[host.Zone], m)
		}
	}
	for _, b := range t.Backends {
		unit := slotUnitName(b)
		v.backends[unit] = b
		if home, ok := fence.PreferredHome(unit, v.homeCandidates(b)); ok {
			v.homes[unit] = home.Name
			if home.Name == self {
				v.ownUnits = append(v.ownUnits, unit)
			}
		}
	}
	for _, unit := range idempotency.Shards() {
		home, backup := fence.HomeAndBackup(unit, v.members)
		v.shardPairs[unit] = pair{home, backup}
	}
	return v
}

// awaitsReport reports whether a takeover still waits for the report of a host. For
// a former home that left the table it waits no longer than formerHomeTimeout.
func awaitsReport(v view, host, former string, claimed time.Time) bool {
	if _, ok := v.byName[host]; ok {
		return true
	}
	return host == former && v.now.Sub(claimed) < formerHomeTimeout
}
