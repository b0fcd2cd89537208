package idempotency

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fence"
)

const lease = 2 * time.Second

var seeds = flag.Int("seeds", 3, "number of seeds of TestNoKeyRunsTwice")

// TestNoKeyRunsTwice sends each key to two hosts at once and again later, while
// homes, backups and sending hosts crash, freeze, restart, are partitioned, and
// homes change twice in quick succession.
func TestNoKeyRunsTwice(t *testing.T) {
	c := qt.New(t)
	outcomes, ran := map[string]int{}, 0
	for seed := range uint64(*seeds) {
		w := newCluster(seed, 6)
		w.keysTimed = seed%4 != 0
		for at := time.Duration(0); at < 75*time.Second; at += 20 * time.Millisecond {
			w.After(at, w.sendKey)
		}
		for at := 4 * time.Second; at < 40*time.Second; at += 1500 * time.Millisecond {
			w.After(at, w.injectFault)
		}
		w.After(48*time.Second, w.healAll)
		w.Run(66 * time.Second)
		before := len(w.runs)
		w.Run(20 * time.Second)
		for key, n := range w.runs {
			c.Assert(n, qt.Equals, 1, qt.Commentf("seed %d: key %s ran %d times", seed, key, n))
		}
		for attempt := range w.refused {
			c.Assert(w.ran[attempt], qt.IsFalse, qt.Commentf("seed %d: attempt %s ran although it was reported as not run", seed, attempt))
		}
		c.Assert(w.wrongAnswers, qt.Equals, 0)
		if w.keysTimed {
			ran := len(w.runs) - before
			c.Assert(ran > 100, qt.IsTrue, qt.Commentf("seed %d: only %d keys ran after the last fault", seed, ran))
		}
		for o, n := range w.outcomes {
			outcomes[o] += n
		}
		ran += len(w.runs)
	}
	t.Logf("%d seeds, %d keys ran, none twice; verdicts %v", *seeds, ran, outcomes)
}

// healAll ends the partition and restarts all hosts that are down.
func (w *cluster) healAll() {
	for _, n := range w.nodes {
		n.partitioned = false
		if !n.alive {
			w.restart(n)
		}
	}
	w.publish(nil)
}

// sendKey sends requests with a new key to random hosts, now and up to 9 s later.
func (w *cluster) sendKey() {
	w.attempts++
	key, made := fmt.Sprintf("k%d", w.attempts), w.Now
	w.request(w.nodes[w.rand.IntN(len(w.nodes))], key, made)
	for _, d := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second} {
		w.After(d, func() { w.request(w.nodes[w.rand.IntN(len(w.nodes))], key, made) })
	}
}

// injectFault injects a random fault, mostly at the home or the backup, or
// restarts the chosen host if it is down.
func (w *cluster) injectFault() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	if home, backup := w.pair(len(w.tables) - 1); home.name != "" && backup.name != "" {
		switch w.rand.IntN(3) {
		case 0:
			n = w.find(home.name)
		case 1:
			n = w.find(backup.name)
		}
	}
	switch kind := w.rand.IntN(6); {
	case !n.alive:
		w.restart(n)
	case kind == 0:
		n.alive = false
		w.After(3*time.Second, func() { w.publish(nil) })
	case kind == 1:
		n.alive = false
		w.restart(n)
	case kind == 2: // freeze; 3 s later, drop the host from the table for a second
		n.frozenUntil = w.Now.Add(time.Duration(w.rand.IntN(8000)) * time.Millisecond)
		w.After(3*time.Second, func() { w.publish(n) })
		w.After(4*time.Second, func() { w.publish(nil) })
	case kind == 3: // partition a random group of hosts, with the chosen host in it
		for i, peer := range w.nodes {
			peer.partitioned = i%2 == w.rand.IntN(2) || peer == n
		}
		w.After(3*time.Second, func() { w.publish(nil) })
		w.After(6*time.Second, func() {
			for _, peer := range w.nodes {
				peer.partitioned = false
			}
			w.publish(nil)
		})
	default: // drop the host from the table and list it again within 200 ms; a home or backup moves away and back
		w.publish(n)
		w.After(time.Duration(w.rand.IntN(200))*time.Millisecond, func() { w.publish(nil) })
	}
}

// openHome returns a home without a backup whose predecessor's records were lost,
// and the time at which it opened.
func openHome(c *qt.C, now time.Time) (*Core, time.Time) {
	core := New("h/1", 1)
	core.Claim(1, []string{"h"}, nil, Params{Retention: time.Minute, Lease: lease, MaxRecords: 2})
	r, _ := core.Fence(fence.Mark{Epoch: 1, Home: "h/1"}, now)
	core.AddReport("h", 1, r, now)
	c.Assert(core.Open(1, now), qt.IsFalse)
	now = now.Add(lease)
	c.Assert(core.Open(1, now), qt.IsTrue)
	core.Renew(now)
	return core, now
}

func TestHomeWithoutMemorySaysUnknown(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	home, now := openHome(c, start)
	attempts := 0
	begin := func(key string, made time.Time) Verdict {
		attempts++
		return home.Begin(Begin{Key: key, Attempt: fmt.Sprint(attempts), Remaining: time.Second, Made: made}, now).Verdict
	}
	c.Assert(begin("before", start.Add(-time.Second)), qt.Equals, Unknown)
	c.Assert(begin("untimed", time.Time{}), qt.Equals, Unknown)
	c.Assert(begin("ahead", now.Add(time.Hour)), qt.Equals, Invalid)
	c.Assert(home.Begin(Begin{Key: "other", Attempt: "x", Remaining: time.Second, Service: 2}, now).Verdict, qt.Equals, Run)
	_, ok := home.Abort("other", "x")
	c.Assert(ok, qt.IsTrue)
	now = now.Add(2*MaxSkew + time.Second)
	home.Renew(now)
	c.Assert(begin("new", now), qt.Equals, Run)
	c.Assert(begin("new", now), qt.Equals, Running)
	c.Assert(begin("second", now), qt.Equals, Run)
	c.Assert(begin("third", now), qt.Equals, Busy)
	c.Assert(begin("old", now.Add(-2*time.Minute)), qt.Equals, Unknown)
	now = now.Add(time.Second)
	home.Renew(now)
	c.Assert(begin("new", now), qt.Equals, Unknown) // the deadline passed without an answer
	now = now.Add(3 * time.Minute)
	home.Renew(now)
	home.Expire(time.Minute, now)
	c.Assert(begin("untimed", time.Time{}), qt.Equals, Run)
}

func TestFinishAndAbortMatchTheAttempt(t *testing.T) {
	c := qt.New(t)
	home, now := openHome(c, time.Unix(1000, 0))
	now = now.Add(time.Minute)
	home.Renew(now)
	b := Begin{Key: "k", Attempt: "a1", Remaining: time.Second, Made: now}
	c.Assert(home.Begin(b, now).Verdict, qt.Equals, Run)
	c.Assert(home.Begin(b, now).Verdict, qt.Equals, Run) // the attempt asks again, as it does if the first decision is lost
	_, ok := home.Finish("k", "a0", Answer{Status: 500}, now)
	c.Assert(ok, qt.IsFalse)
	_, ok = home.Abort("k", "a0")
	c.Assert(ok, qt.IsFalse)
	_, ok = home.Finish("k", "a1", Answer{Status: 201}, now)
	c.Assert(ok, qt.IsTrue)
	_, ok = home.Abort("k", "a1")
	c.Assert(ok, qt.IsFalse)
	d := home.Begin(b, now)
	c.Assert(d.Verdict, qt.Equals, Answered)
	c.Assert(d.Record.Answer.Status, qt.Equals, 201)
}
