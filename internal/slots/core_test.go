package slots

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fence"
)

var seeds = flag.Int("seeds", 5, "number of seeds of TestSlotsNeverExceeded")

// TestSlotsNeverExceeded crashes, freezes and restarts homes and holders, and
// moves the home, sometimes twice in quick succession, while attempts run.
func TestSlotsNeverExceeded(t *testing.T) {
	c := qt.New(t)
	started := 0
	for seed := range uint64(*seeds) {
		w := newCluster(seed, 5, Params{Slots: 3, Queue: 4, MaxHold: time.Second, InZone: true})
		for _, n := range w.nodes {
			w.tick(n)
		}
		for at := time.Duration(0); at < 50*time.Second; at += 10 * time.Millisecond {
			w.After(at, func() { w.startRequest() })
		}
		for at := time.Second; at < 35*time.Second; at += 1500 * time.Millisecond {
			w.After(at, w.injectFault)
		}
		w.After(35*time.Second, w.restartAll)
		w.Run(45 * time.Second)
		before := w.started
		w.Run(5 * time.Second)
		c.Assert(w.maxRunning <= 3, qt.IsTrue, qt.Commentf("seed %d: %d concurrent requests", seed, w.maxRunning))
		c.Assert(w.started-before > 20, qt.IsTrue, qt.Commentf("seed %d: only %d requests ran after the last fault", seed, w.started-before))
		started += w.started
	}
	t.Logf("%d seeds, %d requests ran, slots exceeded 0 times", *seeds, started)
}

func (w *cluster) startRequest() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if n.alive && !w.Now.Before(n.frozenUntil) {
		w.attempt(n)
	}
}

// restartAll restarts all hosts that are down.
func (w *cluster) restartAll() {
	for _, n := range w.nodes {
		if !n.alive {
			w.restart(n)
		}
	}
	w.publish(nil)
}

// injectFault injects a random fault at a host, at the home more often than not,
// or restarts the host if it is down.
func (w *cluster) injectFault() {
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
	case kind == 1: // crash and restart before the table drops the host
		w.crash(n)
		w.restart(n)
		w.After(300*time.Millisecond, func() { w.publish(nil) })
	case kind == 2: // freeze, and drop the host from the table for a second
		n.frozenUntil = w.Now.Add(time.Duration(w.rand.IntN(6000)) * time.Millisecond)
		w.publish(map[string]bool{n.name: true})
		w.After(time.Second, func() { w.publish(nil) })
	default: // drop the host from the table and list it again within 100 ms; a home moves away and back
		w.publish(map[string]bool{n.name: true})
		w.After(time.Duration(w.rand.IntN(100))*time.Millisecond, func() { w.publish(nil) })
	}
}

// openHome returns a core that serves as the home in a cluster of one host.
func openHome(p Params, now time.Time) *Core {
	c := New("h/1", 0)
	c.Claim(1, 10, []string{"h"}, nil, p, now)
	r, _ := c.Fence(fence.Mark{Epoch: 1, Home: "h/1"}, now)
	c.AddReport("h", 1, r, now)
	c.Renew(1, now)
	return c
}

func acquire(c *Core, id string, remaining time.Duration, now time.Time) Verdict {
	return c.Acquire(Request{Attempt: id, Holder: "x/1", Remaining: remaining}, now).Verdict
}

func TestQueueServesTheEarliestDeadline(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 2, MaxHold: time.Minute}, now)
	c.Assert(acquire(home, "a", time.Second, now), qt.Equals, Granted)
	c.Assert(acquire(home, "late", 20*time.Second, now), qt.Equals, Queued)
	c.Assert(acquire(home, "soon", 10*time.Second, now), qt.Equals, Queued)
	c.Assert(acquire(home, "more", 5*time.Second, now), qt.Equals, Full)
	home.Renew(1, now.Add(time.Second))
	c.Assert(home.Release("a", now.Add(time.Second)), qt.DeepEquals, []string{"soon"})
}

func TestDeadlinePassesInTheQueue(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 2, MaxHold: time.Minute}, now)
	acquire(home, "a", 30*time.Second, now)
	c.Assert(acquire(home, "b", time.Second, now), qt.Equals, Queued)
	granted, dropped := home.Tick(now.Add(time.Second))
	c.Assert(granted, qt.HasLen, 0)
	c.Assert(dropped, qt.DeepEquals, []string{"b"})
}

func TestReleaseBeforeAcquire(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, MaxHold: time.Minute}, now)
	home.Release("a", now)
	c.Assert(acquire(home, "a", time.Second, now), qt.Equals, Full)
	c.Assert(acquire(home, "b", time.Second, now), qt.Equals, Granted)
}

func TestColdStartRampsSlots(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 3, Ramp: 3 * time.Second, MaxHold: time.Minute}, now)
	c.Assert(acquire(home, "a", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(acquire(home, "b", 30*time.Second, now), qt.Equals, Full)
	now = now.Add(2 * time.Second)
	home.Renew(1, now)
	c.Assert(acquire(home, "c", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(acquire(home, "d", 30*time.Second, now), qt.Equals, Full)
}

func TestShedStopsGrants(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 3, MaxHold: time.Minute}, now)
	home.Shed(now.Add(time.Second))
	c.Assert(acquire(home, "a", 30*time.Second, now), qt.Equals, Full)
	c.Assert(acquire(home, "b", 30*time.Second, now.Add(time.Second)), qt.Equals, Granted)
}

func TestFormerHomeHandsOverAttemptsOfDeadHolders(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	old := openHome(Params{Slots: 1, MaxHold: time.Minute}, now)
	c.Assert(acquire(old, "a", 5*time.Second, now), qt.Equals, Granted) // its holder x/1 crashes
	next := New("n/1", 0)
	p := Params{Slots: 1, MaxHold: time.Minute, InZone: true}
	next.Claim(2, 10, []string{"h", "n"}, nil, p, now)
	claim := fence.Mark{Epoch: 2, Home: "n/1"}
	for name, core := range map[string]*Core{"h": old, "n": next} {
		r, ok := core.Fence(claim, now)
		c.Assert(ok, qt.IsTrue)
		next.AddReport(name, 2, r, now)
	}
	next.Renew(2, now)
	c.Assert(acquire(old, "b", time.Second, now), qt.Equals, NotHome)
	c.Assert(acquire(next, "b", time.Second, now), qt.Equals, Full)
	next.Renew(2, now.Add(7*time.Second))
	c.Assert(acquire(next, "c", time.Second, now.Add(7*time.Second)), qt.Equals, Granted)
}

func TestHomeThatWasFrozenGrantsNothing(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(100)
	home := openHome(Params{Slots: 1, Queue: 1, MaxHold: time.Minute}, now)
	c.Assert(acquire(home, "a", 30*time.Second, now), qt.Equals, Granted)
	c.Assert(acquire(home, "b", 30*time.Second, now), qt.Equals, Queued)
	now = now.Add(LeaseDuration)
	c.Assert(home.Release("a", now), qt.HasLen, 0)
	c.Assert(acquire(home, "c", 30*time.Second, now), qt.Equals, NotHome)
}
