package route_test

import (
	"fmt"
	"strings"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// simControl is the control host. It runs the placement and state packages on the
// simulated state of hosts and backend servers.
type simControl struct {
	s       *sim
	planner *place.Planner
	state   *state.State
}

func newSimControl(s *sim, zones int) *simControl {
	c := &simControl{s: s, planner: place.NewPlanner(), state: state.New()}
	var names []string
	for i := range zones {
		names = append(names, fmt.Sprintf("%q", fmt.Sprint("zone-", i)))
	}
	var ops []settings.Op
	for _, svc := range simServices {
		path := settings.Path(svc.name)
		for key, value := range map[string]string{
			settings.ServiceZones:     "[" + strings.Join(names, ",") + "]",
			settings.ServiceAddresses: fmt.Sprintf("[%q]", svc.address.String()+"/tcp"),
			settings.FlowIdleTimeout:  fmt.Sprintf("%q", simIdle.String()),
			settings.FlowBuckets:      fmt.Sprint(simBuckets),
		} {
			ops = append(ops, settings.Op{Action: settings.Set, Path: path, Key: key, Value: value})
		}
	}
	if r := c.state.Apply(1, state.Command{Change: &state.Change{ID: "services", Ops: ops}}); r.Err != nil {
		panic(r.Err)
	}
	return c
}

// unreachable reports whether the control host treats a zone as lost.
func (c *simControl) unreachable(zone string) bool {
	return c.s.partitionedZone == zone && c.s.now > c.s.partitionedAt+lossAfter
}

// lost reports whether the control host treats a host as lost.
func (c *simControl) lost(h *simHost) bool {
	return !h.up && c.s.now > h.lostAt+lossAfter || c.unreachable(h.Zone)
}

// step computes a delta of the placement from the current input, applies it and
// publishes the table.
func (c *simControl) step() {
	if delta := c.planner.Next(c.input()); !delta.Empty() {
		if r := c.state.Apply(c.state.Revision+1, state.Command{Placement: &delta}); r.Err != nil {
			panic(r.Err)
		}
	}
	c.assignNumbers()
	c.publish()
	c.s.schedule(250*time.Millisecond, c.step)
}

func (c *simControl) input() place.Input {
	in := place.Input{
		Now: c.s.time(), Tree: c.state.Tree, TreeRevision: c.state.SettingsRevision,
		Current: c.state.Placement.View(),
	}
	for _, h := range c.s.hosts {
		if h.up && h.table != nil && c.s.partitionedZone != h.Zone {
			h.knownRevision = h.table.Revision
			in.Statuses = append(in.Statuses, h.replicator.Status(c.s.time())...)
		}
		in.Hosts = append(in.Hosts, c.host(h))
	}
	for _, b := range c.s.backends {
		if b.dead && c.s.now > b.drainedAt+lossAfter || c.unreachable(b.Zone) {
			continue // the lease of its announcement has expired
		}
		in.Backends = append(in.Backends, model.Backend{
			ID: b.ID, Service: b.Service, Zone: b.Zone, State: b.State, Incarnation: 1, Weight: 100,
		})
	}
	return in
}

func (c *simControl) host(h *simHost) place.Host {
	m := model.Host{Name: h.Name, Zone: h.Zone, Entry: true, Incarnation: h.Incarnation, State: model.Alive, Revision: h.knownRevision}
	leaving, lost := h.leaving && h.up, c.lost(h)
	switch {
	case lost:
		m.State = model.Dead
	case leaving:
		m.State = model.Leaving
	}
	return place.Host{Host: m, LeaseExpired: lost, Leaving: leaving}
}

// assignNumbers gives hosts and backend servers their numbers in the placement.
func (c *simControl) assignNumbers() {
	for n, h := range c.state.Placement.Hosts {
		for _, o := range c.s.hosts {
			if o.Name == h.Name {
				o.Num = n
			}
		}
	}
	c.s.byNum = map[table.BackendNum]*simBackend{}
	for n, b := range c.state.Placement.Backends {
		for _, o := range c.s.backends {
			if o.ID == b.ID {
				c.s.byNum[n] = o
			}
		}
	}
}

// publish sends the table to all hosts that it can reach, with a random delay for
// each. A host that has just started gets it without delay.
func (c *simControl) publish() {
	s := c.s
	t := c.state.Table()
	for _, h := range s.hosts {
		if !h.up || s.partitionedZone == h.Zone || h.table != nil && h.table.Revision == t.Revision {
			continue
		}
		delay := time.Duration(s.rand.Int64N(int64(s.maxTableDelay)))
		if h.table == nil {
			delay = 0
		}
		incarnation := h.Incarnation
		s.schedule(linkDelay+delay, func() {
			if h.up && h.Incarnation == incarnation && s.partitionedZone != h.Zone {
				s.adopt(h, t)
			}
		})
	}
}
