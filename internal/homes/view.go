package homes

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// view is the table in the form that one tick needs.
type view struct {
	table   *table.Table
	members []fence.Member        // hosts that may be homes
	byName  map[string]table.Host // hosts that are alive or leaving
	homes   map[string]string     // home of each backend server's slots, by unit
	now     time.Time
}

func (v view) names() []string {
	return slices.Sorted(maps.Keys(v.byName))
}

// zoneOf returns the zone whose hosts serve the backend server: its own, or
// all if its own has no entry host.
func (v view) zoneOf(b table.Backend) string {
	for _, m := range v.members {
		if m.Zone == b.Zone {
			return b.Zone
		}
	}
	return ""
}

// electorate returns the hosts of which a majority must agree to the lease of
// the backend server's home.
func (v view) electorate(b table.Backend) []string {
	var names []string
	zone := v.zoneOf(b)
	for _, m := range v.members {
		if zone == "" || m.Zone == zone {
			names = append(names, m.Name)
		}
	}
	return names
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
		h.last = newView(t)
	}
	v := h.last
	v.now = h.Clock.Now()
	return v
}

func newView(t *table.Table) view {
	v := view{table: t, byName: map[string]table.Host{}, homes: map[string]string{}}
	for _, host := range t.Hosts {
		if host.State == model.Dead {
			continue
		}
		v.byName[host.Name] = host
		if host.State != model.Leaving {
			v.members = append(v.members, fence.Member{Name: host.Name, Zone: host.Zone})
		}
	}
	for _, b := range t.Backends {
		unit := slotUnitOf(b)
		if ranked := fence.Rank(unit, v.zoneOf(b), v.members); len(ranked) > 0 {
			v.homes[unit] = ranked[0].Name
		}
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
