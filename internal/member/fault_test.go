package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// evictions counts the events in which a running host was declared dead.
func evictions(nw *network) *int {
	n := new(int)
	nw.event = func(_ *node, e member.Event) {
		if e.Kind == member.HostChanged && e.Host.State == model.Dead && !nw.byAddr[e.Host.Gossip].down {
			*n++
		}
	}
	return n
}

func TestNoFalseEviction(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := time.Minute
	if *hour {
		d = time.Hour
	}
	nw := joined(c, 5, 3, 7)
	nw.lossRate = 0.05
	evicted := evictions(nw)
	nw.run(d)
	c.Assert(*evicted, qt.Equals, 0)
	lost := func() bool { return nw.rand.Float64() < nw.lossRate }
	_, baseline, _ := runBaseline(21, nw.lossRate, d, lost)
	t.Logf("false evictions in %v at 5%% loss: 0, baseline %d", d, baseline)
}

func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	for _, inboundLost := range []bool{true, false} { // if false, outbound messages are lost
		t.Run(fmt.Sprintf("deaf=%v", inboundLost), func(t *testing.T) {
			c := qt.New(t)
			nw := joined(c, 6, 3, 7)
			faulty := nw.nodes[2]
			evicted := evictions(nw)
			nw.blocked = func(from, to *node) bool { return (inboundLost && to == faulty) || (!inboundLost && from == faulty) }
			nw.event = func(n *node, e member.Event) {
				if n != faulty && e.Kind == member.HostChanged && e.Host.State == model.Dead && e.Host.Name != faulty.self.Name {
					*evicted++
				}
			}
			nw.run(time.Minute)
			c.Check(nw.allSee(faulty.self.Name, "", model.Dead), qt.IsTrue)
			c.Check(*evicted, qt.Equals, 0) // no other host was evicted
			nw.blocked = nil
			took := nw.runUntil(time.Minute, nw.viewsMatchRunning)
			c.Check(nw.viewsMatchRunning(), qt.IsTrue)
			t.Logf("healed after %v", took)
		})
	}
}

func TestOneLinkLost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 7, 3, 7)
	evicted := evictions(nw)
	nw.blocked = func(from, to *node) bool { return from == nw.nodes[1] && to == nw.nodes[2] }
	nw.run(time.Minute)
	c.Assert(*evicted, qt.Equals, 0)
}

func TestSlowHost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 8, 3, 7)
	evicted := evictions(nw)
	nw.nodes[4].slow = 300 * time.Millisecond
	nw.run(time.Minute)
	c.Check(*evicted, qt.Equals, 0)
	nw.nodes[4].slow = 3 * time.Second // long enough to be declared dead
	nw.run(20 * time.Second)
	nw.nodes[4].slow = 0
	nw.runUntil(time.Minute, nw.viewsMatchRunning)
	c.Assert(nw.viewsMatchRunning(), qt.IsTrue)
}

func TestPauseAndClockJump(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 9, 3, 7)
	evicted := evictions(nw)
	nw.nodes[5].skew = time.Hour
	nw.run(5 * time.Second)
	nw.nodes[5].skew = -time.Hour
	nw.run(5 * time.Second)
	c.Check(*evicted, qt.Equals, 0)
	nw.nodes[6].paused = nw.now.Add(30 * time.Second)
	nw.run(29 * time.Second)
	others := 0
	nw.event = func(n *node, e member.Event) {
		if n == nw.nodes[6] && e.Kind == member.HostChanged && e.Host.State == model.Dead {
			others++
		}
	}
	nw.runUntil(time.Minute, nw.viewsMatchRunning)
	c.Check(nw.viewsMatchRunning(), qt.IsTrue)
	c.Check(others, qt.Equals, 0) // the paused host declares no other host dead
}

func TestHalfTheHostsRestart(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 10, 3, 8)
	for i, n := range nw.nodes {
		if i%2 == 1 {
			nw.restart(n)
		}
	}
	took := nw.runUntil(time.Minute, nw.viewsMatchRunning)
	c.Assert(nw.viewsMatchRunning(), qt.IsTrue)
	t.Logf("agreed after %v", took)
}

func TestOldIncarnationReturns(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 11, 3, 7)
	restarted := nw.nodes[3]
	restarted.down = true
	nw.run(5 * time.Second)
	restarted.self.Incarnation = 10 // its clock was set back
	nw.start(restarted)
	nw.runUntil(time.Minute, nw.viewsMatchRunning)
	c.Assert(nw.viewsMatchRunning(), qt.IsTrue)
	c.Assert(restarted.core.Self().Incarnation > 1000, qt.IsTrue)
}

func TestNameTaken(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 12, 1, 3)
	taken := 0
	nw.event = func(n *node, e member.Event) {
		if n == nw.nodes[1] && e.Kind == member.NameTaken {
			taken++
		}
	}
	twin := nw.add("other", "z00", 2000, false)
	twin.self.Name = nw.nodes[1].self.Name
	nw.start(twin)
	nw.run(10 * time.Second)
	c.Assert(taken > 0, qt.IsTrue)
}

func TestRackLost(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 13, 3, 12)
	for i := range 5 {
		nw.nodes[12+i].down = true
	}
	took := nw.runUntil(time.Minute, nw.viewsMatchRunning)
	t.Logf("known to all hosts after %v", took)
	c.Assert(took <= 4*time.Second, qt.IsTrue)
}

func TestLeave(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 14, 3, 7)
	nw.lossRate = 0.02
	n := nw.nodes[9]
	nw.apply(n, n.core.Leave(nw.now))
	n.down = true
	took := nw.runUntil(time.Minute, func() bool { return nw.allSee(n.self.Name, "", model.Left) })
	t.Logf("known to all hosts after %v", took)
	c.Assert(took <= 3*time.Second, qt.IsTrue)
}

func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 15, 3, 7)
	nw.blocked = func(from, to *node) bool { return (from.self.Zone == "z02") != (to.self.Zone == "z02") }
	took := nw.runUntil(time.Minute, func() bool {
		return nw.allSee("z02-03", "z00", model.Dead) && nw.allSee("z00-01", "z02", model.Dead)
	})
	t.Logf("partition detected after %v", took)
	c.Check(took <= 15*time.Second, qt.IsTrue)
	joins, leaves := nw.add("z02-new", "z02", 5, false), nw.byAddr["z02-04"]
	nw.apply(leaves, leaves.core.Leave(nw.now))
	leaves.down = true
	nw.add("z00-new", "z00", 5, false)
	nw.byAddr["z00-05"].down = true
	nw.run(partitionTime())
	c.Check(nw.allSee(joins.self.Name, "z02", model.Alive), qt.IsTrue)
	c.Check(nw.allSee("z02-03", "z02", model.Alive), qt.IsTrue) // the unreachable zone still works internally
	nw.blocked = nil
	for _, n := range nw.nodes {
		n.bytes = 0
	}
	took = nw.runUntil(time.Minute, nw.viewsMatchRunning)
	c.Check(nw.viewsMatchRunning(), qt.IsTrue)
	worst := int64(0)
	for _, n := range nw.nodes {
		worst = max(worst, n.bytes)
	}
	t.Logf("healed after %v, at most %.0f B/s on a host", took, float64(worst)/took.Seconds())
	c.Check(float64(worst)/took.Seconds() <= maxBytes, qt.IsTrue)
}

func partitionTime() time.Duration {
	if *hour {
		return time.Hour
	}
	return time.Minute
}
