package homes

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/model"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// view is the table in the form that one tick needs.
type view struct {
	table   *table.Table
	members []fence.Member            // hosts that may be homes
	byName  map[string]table.Host     // hosts that are alive or leaving
	zones   map[string][]fence.Member // members by zone
	homes   map[string]string         // home of each backend server's slots, by unit
	listed  map[string]table.Backend  // backend servers of the table, by unit
	pairs   map[string]pair           // home and backup of each shard, by unit
	own     []string                  // units of backend servers whose home this host is
	now     time.Time
}

// pair is the home and the backup of a shard.
type pair struct{ home, backup fence.Member }

func (v view) names() []string {
	return slices.Sorted(maps.Keys(v.byName))
}

// electorate returns the hosts of which a majority must agree to the lease of
// the backend server's home: those of its zone, or all if its zone has no
// entry host.
func (v view) electorate(b table.Backend) []string {
	var names []string
	for _, m := range v.near(b) {
		names = append(names, m.Name)
	}
	return names
}

// near returns the hosts that may be the home of the backend server.
func (v view) near(b table.Backend) []fence.Member {
	if members := v.zones[b.Zone]; len(members) > 0 {
		return members
	}
	return v.members
}

// first returns the processes of the table if no other process has ever been
// an entry host: no number of a host is missing, and none has restarted.
func (v view) first(r *replica.Replica) []string {
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

// votes reports whether a host is of the electorate of a backend server.
func (v view) votes(host string, b table.Backend) bool {
	return slices.Contains(v.electorate(b), host)
}

func (v view) slotHome(b table.Backend) string { return v.homes[slotUnitOf(b)] }

// process returns the process of a host of the table.
func (v view) process(name string) string {
	host, ok := v.byName[name]
	if !ok {
		return ""
	}
	return processName(name, host.Incarnation)
}

// view returns the view of the table in force. It is computed once per table.
func (h *Homes) view() view {
	t := h.Replica.Table()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.table != t {
		h.last = newView(t, h.Name)
	}
	v := h.last
	v.now = h.Clock.Now()
	return v
}

func newView(t *table.Table, self string) view {
	v := view{
		table: t, byName: map[string]table.Host{}, zones: map[string][]fence.Member{},
		homes: map[string]string{}, listed: map[string]table.Backend{}, pairs: map[string]pair{},
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
		unit := slotUnitOf(b)
		v.listed[unit] = b
		if home, ok := fence.PreferredHome(unit, v.near(b)); ok {
			v.homes[unit] = home.Name
			if home.Name == self {
				v.own = append(v.own, unit)
			}
		}
	}
	for _, unit := range oncekey.Shards() {
		home, backup := fence.HomeAndBackup(unit, v.members)
		v.pairs[unit] = pair{home, backup}
	}
	return v
}

// stillAsked reports whether a takeover still waits for a host.
func stillAsked(v view, host, former string, claimed time.Time) bool {
	if _, ok := v.byName[host]; ok {
		return true
	}
	return host == former && v.now.Sub(claimed) < handoverWait
}
