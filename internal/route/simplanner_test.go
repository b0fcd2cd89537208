package route_test

import (
	"fmt"
	"strings"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/records"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// simPlanner lets the placement of the product place, in the stead of the
// plain one.
type simPlanner struct {
	planner *place.Planner
	state   *state.State
}

func newSimPlanner(zones int) *simPlanner {
	p := &simPlanner{planner: place.NewPlanner(), state: state.New()}
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
	if r := p.state.Apply(1, state.Command{Change: &state.Change{ID: "services", Ops: ops}}); r.Err != nil {
		panic(r.Err)
	}
	return p
}

// tick computes a delta from what the controller hears, and applies it.
func (p *simPlanner) tick(c *simControl) {
	delta := p.planner.Next(p.input(c))
	if !delta.Empty() {
		c.revision = p.state.Revision + 1
		if r := p.state.Apply(c.revision, state.Command{Placement: &delta}); r.Err != nil {
			panic(r.Err)
		}
	}
	c.buckets = p.state.Placement.Buckets
	p.number(c)
	c.publish()
}

func (p *simPlanner) input(c *simControl) place.Input {
	in := place.Input{
		Now: c.s.time(), Tree: p.state.Tree, TreeRevision: p.state.SettingsRevision,
		Current: p.state.Placement.View(),
	}
	for _, h := range c.s.hosts {
		in.Hosts = append(in.Hosts, p.host(c, h))
		if h.up && h.table != nil && c.s.cut != h.Zone {
			in.Statuses = append(in.Statuses, reported(h, c.s.time())...)
		}
	}
	for _, b := range c.s.backends {
		if b.dead && c.s.now > b.drained+lossAfter || c.unreachable(b.Zone) {
			continue // its announcement has lapsed
		}
		in.Backends = append(in.Backends, model.Backend{
			ID: b.ID, Service: b.Service, Zone: b.Zone, State: b.State, Incarnation: 1, Weight: 100,
		})
	}
	return in
}

func reported(h *simHost, now time.Time) []records.BucketStatus {
	return h.keeper.Status(now)
}

func (p *simPlanner) host(c *simControl, h *simHost) place.Host {
	if h.up && c.s.cut != h.Zone && h.table != nil {
		h.seen = h.table.Revision
	}
	m := model.Host{Name: h.Name, Zone: h.Zone, Entry: true, Incarnation: h.Incarnation, State: model.Alive, Revision: h.seen}
	if h.leaving && h.up {
		m.State = model.Leaving
	}
	lost := c.lost(h)
	if lost {
		m.State = model.Dead
	}
	return place.Host{Host: m, LeaseOut: lost, Leaving: h.leaving && h.up}
}

// number gives hosts and backend servers the numbers of the placement.
func (p *simPlanner) number(c *simControl) {
	for n, h := range p.state.Placement.Hosts {
		for _, o := range c.s.hosts {
			if o.Name == h.Name {
				o.Num = n
			}
		}
	}
	c.s.byNum = map[table.BackendNum]*simBackend{}
	for n, b := range p.state.Placement.Backends {
		for _, o := range c.s.backends {
			if o.ID == b.ID {
				c.s.byNum[n] = o
			}
		}
	}
}
