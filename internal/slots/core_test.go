package slots

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fence"
)

var seeds = flag.Int("seeds", 5, "seeds of the driven test")

// TestSlotsNeverExceeded crashes, freezes and restarts homes and holders and
// moves the home, also twice in a row, while attempts flow.
func TestSlotsNeverExceeded(t *testing.T) {
	c := qt.New(t)
	ran := 0
	for seed := range uint64(*seeds) {
		w := newWorld(seed, 5, Params{Slots: 3, Queue: 4, MaxHold: time.Second, InZone: true})
		for _, n := range w.nodes {
			w.tend(n)
		}
		for at := time.Duration(0); at < 50*time.Second; at += 10 * time.Millisecond {
			w.After(at, func() { w.traffic() })
		}
		for at := time.Second; at < 35*time.Second; at += 1500 * time.Millisecond {
			w.After(at, w.disturb)
		}
		w.After(35*time.Second, w.heal)
		w.Run(45 * time.Second)
		before := w.ran
		w.Run(5 * time.Second)
		c.Assert(w.most <= 3, qt.IsTrue, qt.Commentf("seed %d: %d requests at once", seed, w.most))
		c.Assert(w.ran-before > 20, qt.IsTrue, qt.Commentf("seed %d: only %d requests ran after the last disturbance", seed, w.ran-before))
		ran += w.ran
	}
	t.Logf("%d seeds, %d requests ran, slots exceeded 0 times", *seeds, ran)
}

func (w *world) traffic() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if n.alive && !w.Now.Before(n.until) {
		w.attempt(n)
	}
}

// heal restarts all hosts that are down.
func (w *world) heal() {
	for _, n := range w.nodes {
		if !n.alive {
			w.restart(n)
		}
	}
	w.publish(nil)
}

// disturb does one thing to a host, mostly to the home.
func (w *world) disturb() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if home := w.find(w.homeOf(len(w.tables) - 1)); home != nil && w.rand.IntN(2) == 0 {
		n = home
	}
	switch kind := w.rand.IntN(5); {
	case !n.alive:
		w.restart(n)
		w.publish(nil)
	case kind == 0:
		w.crash(n)
		w.After(300*time.Millisecond, func() { w.publish(nil) })
	case kind == 1: // crash and quick restart, before the table tells
		w.crash(n)
		w.restart(n)
		w.After(300*time.Millisecond, func() { w.publish(nil) })
	case kind == 2: // frozen, and given up meanwhile
		n.until = w.Now.Add(time.Duration(w.rand.IntN(6000)) * time.Millisecond)
		w.publish(map[string]bool{n.name: true})
		w.After(time.Second, func() { w.publish(nil) })
	default: // the home moves away and at once back
		w.publish(map[string]bool{n.name: true})
		w.After(time.Duration(w.rand.IntN(100))*time.Millisecond, func() { w.publish(nil) })
	}
}

// openHome returns a core that serves as home, alone.
func openHome(p Params, now time.Time) *Core {
	c := New("h/1", 0)
	c.Claim(1, 10, []string{"h"}, nil, p, now)
	r, _ := c.Fence(fence.Mark{Epoch: 1, Home: "h/1"}, now)
	c.Reported("h", 1, r, now)
	c.Renew(1, now)
	return c
}

func ask(c *Core, id string, left time.Duration, now time.Time) Verdict {
	return c.Acquire(Request{Attempt: id, Holder: "x/1", Remaining: left}, now).Verdict
}

func TestQueueServesTheEarliestDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 2, MaxHold: time.Minute}, now)
	c.Assert(ask(home, "a", time.Second, now), qt.Equals, Granted)
	c.Assert(ask(home, "late", 20*time.Second, now), qt.Equals, Queued)
	c.Assert(ask(home, "soon", 10*time.Second, now), qt.Equals, Queued)
	c.Assert(ask(home, "more", 5*time.Second, now), qt.Equals, Full)
	home.Renew(1, now.Add(time.Second))
	c.Assert(home.Release("a", now.Add(time.Second)), qt.DeepEquals, []string{"soon"})
}

func TestDeadlinePassesInTheQueue(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 2, MaxHold: time.Minute}, now)
	ask(home, "a", 30*time.Second, now)
	c.Assert(ask(home, "b", time.Second, now), qt.Equals, Queued)
	granted, late := home.Tick(now.Add(time.Second))
	c.Assert(granted, qt.HasLen, 0)
	c.Assert(late, qt.DeepEquals, []string{"b"})
}

func TestReleaseThatOvertakesItsRequest(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, MaxHold: time.Minute}, now)
	home.Release("a", now)
	c.Assert(ask(home, "a", time.Second, now), qt.Equals, Full)
	c.Assert(ask(home, "b", time.Second, now), qt.Equals, Granted)
}

func TestColdStartOpensSlotsOneByOne(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 3, Ramp: 3 * time.Second, MaxHold: time.Minute}, now)
	c.Assert(ask(home, "a", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(ask(home, "b", 30*time.Second, now), qt.Equals, Full)
	now = now.Add(2 * time.Second)
	home.Renew(1, now)
	c.Assert(ask(home, "c", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(ask(home, "d", 30*time.Second, now), qt.Equals, Full)
}

func TestShedStopsGrants(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 3, MaxHold: time.Minute}, now)
	home.Shed(now.Add(time.Second))
	c.Assert(ask(home, "a", 30*time.Second, now), qt.Equals, Full)
	c.Assert(ask(home, "b", 30*time.Second, now.Add(time.Second)), qt.Equals, Granted)
}

func TestFormerHomeHandsOverAttemptsOfDeadHolders(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	old := openHome(Params{Slots: 1, MaxHold: time.Minute}, now)
	c.Assert(ask(old, "a", 5*time.Second, now), qt.Equals, Granted) // its holder x dies
	next := New("n/1", 0)
	p := Params{Slots: 1, MaxHold: time.Minute, InZone: true}
	next.Claim(2, 10, []string{"h", "n"}, nil, p, now)
	claim := fence.Mark{Epoch: 2, Home: "n/1"}
	for name, core := range map[string]*Core{"h": old, "n": next} {
		r, ok := core.Fence(claim, now)
		c.Assert(ok, qt.IsTrue)
		next.Reported(name, 2, r, now)
	}
	next.Renew(2, now)
	c.Assert(ask(old, "b", time.Second, now), qt.Equals, NotHome)
	c.Assert(ask(next, "b", time.Second, now), qt.Equals, Full)
	next.Renew(2, now.Add(7*time.Second))
	c.Assert(ask(next, "c", time.Second, now.Add(7*time.Second)), qt.Equals, Granted)
}

func TestHomeThatWasFrozenGrantsNothing(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 1, MaxHold: time.Minute}, now)
	c.Assert(ask(home, "a", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(ask(home, "b", 30*time.Second, now), qt.Equals, Queued)
	now = now.Add(LeaseTerm)
	c.Assert(home.Release("a", now), qt.HasLen, 0)
	c.Assert(ask(home, "c", 30*time.Second, now), qt.Equals, NotHome)
}
