package health_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/health"
	"greengagequay/internal/model"
)

// simulation runs hosts of one zone, which receive each other's votes without delay,
// and backend servers whose real state the test sets.
type simulation struct {
	c        *qt.C
	now      time.Time
	hosts    []model.Host
	cores    []*health.Core
	backends []model.Backend
	// probe and use return the outcome that a host would observe. use reports false if
	// the host does not use the backend server.
	probe      func(host, backend int) health.Outcome
	use        func(host, backend int) (health.Outcome, bool)
	events     []health.Event
	maxEjected int // maximum number of backend servers that were ejected at the same time
	probes     int
}

func newSimulation(c *qt.C, hosts, backends int) *simulation {
	w := &simulation{c: c, now: time.Unix(1e9, 0)}
	w.probe = func(int, int) health.Outcome { return health.Answered }
	w.use = func(int, int) (health.Outcome, bool) { return health.Answered, false }
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		w.hosts = append(w.hosts, model.Host{Name: name, Zone: "a", Entry: true, State: model.Alive})
		w.cores = append(w.cores, health.New(health.Options{Host: name, Zone: "a", EjectShare: func(string) float64 { return 0.3 }}))
	}
	for i := range backends {
		addr := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		w.backends = append(w.backends, model.Backend{ID: fmt.Sprintf("b-%d", i), Service: "s", Zone: "a", State: model.Ready, Request: addr})
	}
	return w
}

func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		for h, core := range w.cores {
			for b := range w.backends {
				if o, used := w.use(h, b); used && core.Share(w.now, w.backends[b].ID) > 0 {
					core.Observe(w.now, w.backends[b].ID, o)
				}
			}
			out := core.Tick(w.now, w.backends, w.hosts)
			for _, b := range out.Probe {
				w.probes++
				core.ObserveProbe(w.now, b.ID, w.probe(h, int(b.Request.Port())-1))
			}
			if h == 0 {
				w.events = append(w.events, out.Events...)
			}
			for other, o := range w.cores {
				for _, i := range out.Items {
					if other != h {
						_, err := o.ReceiveVote(w.now, i)
						w.c.Assert(err, qt.IsNil)
					}
				}
			}
		}
		ejected := 0
		for b := range w.backends {
			if w.isEjected(b) {
				ejected++
			}
		}
		w.maxEjected = max(w.maxEjected, ejected)
	}
}

func (w *simulation) isEjected(b int) bool {
	return w.cores[0].Apply(w.backends)[b].State == model.Draining
}

func refusing(bad ...int) func(int, int) health.Outcome {
	return func(_, b int) health.Outcome {
		for _, x := range bad {
			if x == b {
				return health.Refused
			}
		}
		return health.Answered
	}
}

func alwaysUsed(f func(host, backend int) health.Outcome) func(int, int) (health.Outcome, bool) {
	return func(h, b int) (health.Outcome, bool) { return f(h, b), true }
}

func TestDeadBackendIsEjectedByProbes(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 7, 10)
	w.run(10 * time.Second)
	c.Check(w.probes <= 10*2*11, qt.IsTrue) // two probers per backend server, not all hosts
	w.probe = refusing(3)
	w.run(5 * time.Second)
	c.Check(w.isEjected(3), qt.IsTrue)
	c.Check(w.maxEjected, qt.Equals, 1)
	w.probe = refusing()
	w.run(20 * time.Second)
	c.Check(w.isEjected(3), qt.IsFalse)
}

func TestFailuresSeenByOneHostEjectNothing(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 7, 10)
	w.probe = func(h, _ int) health.Outcome { return map[bool]health.Outcome{true: health.TimedOut}[h == 2] }
	w.use = alwaysUsed(w.probe)
	w.run(time.Minute)
	c.Check(w.maxEjected, qt.Equals, 0)
}

func TestDataPathOutvotesProbes(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 7, 10)
	w.probe = refusing(3) // probes fail, requests are answered
	w.use = alwaysUsed(refusing())
	w.run(time.Minute)
	c.Check(w.maxEjected, qt.Equals, 0)

	w = newSimulation(c, 7, 10)
	w.use = alwaysUsed(refusing(4)) // probes are answered, requests fail
	w.run(5 * time.Second)
	c.Check(w.isEjected(4), qt.IsTrue)
	c.Check(w.maxEjected, qt.Equals, 1)
}

func TestFlappingBackendIsEjectedLessOften(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 7, 10)
	w.probe = func(_, b int) health.Outcome {
		if b == 0 && w.now.Unix()%20 < 8 {
			return health.TimedOut
		}
		return health.Answered
	}
	w.run(10 * time.Minute)
	changes := 0
	for _, e := range w.events {
		if e.Ejected {
			changes++
		}
	}
	c.Check(changes > 0 && changes <= 8, qt.IsTrue, qt.Commentf("%d", changes)) // there are 30 failures
}

func TestNeverEjectsMoreThanTheShare(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 7, 10)
	w.probe = refusing(0, 1, 2, 3, 4, 5, 6, 7)
	w.run(time.Minute)
	c.Check(w.maxEjected, qt.Equals, 3)
	open := false
	for _, e := range w.events {
		open = open || e.FailOpen
	}
	c.Check(open, qt.IsTrue)
}

func TestSlowStart(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 3, 10)
	share := func() float64 { return w.cores[0].Share(w.now, "b-1") }
	c.Check(share(), qt.Equals, 1.0)
	w.probe = refusing(1)
	w.run(5 * time.Second)
	c.Check(share(), qt.Equals, 0.0)
	w.probe = refusing()
	for last := 0.0; w.isEjected(1) || share() < 1; last = share() {
		w.run(time.Second)
		c.Assert(share() >= last && share() <= last+0.2, qt.IsTrue)
		c.Assert(w.now.Before(time.Unix(1e9+120, 0)), qt.IsTrue)
	}
}

func TestVotesOfDeadHostsDoNotCount(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 4, 10)
	w.probe = refusing(1)
	w.run(5 * time.Second)
	c.Check(w.isEjected(1), qt.IsTrue)
	for i := 1; i < 4; i++ {
		w.hosts[i].State = model.Dead
	}
	w.cores = w.cores[:1]
	w.probe = refusing()
	w.run(30 * time.Second)
	c.Check(w.isEjected(1), qt.IsFalse)
}
