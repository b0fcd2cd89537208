package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against packets that waited at a paused host and are handled like fresh ones.
func TestPauses(t *testing.T) {
	c := qt.New(t)
	var p pauses
	now := maxAliveGap
	c.Assert(p.recordAlive(now), qt.IsFalse)
	for range 3 {
		now += flowTick
		c.Assert(p.recordAlive(now), qt.IsFalse)
		c.Assert(p.mayHaveWaited(now), qt.IsFalse)
	}
	now += maxAliveGap + time.Millisecond
	c.Assert(p.recordAlive(now), qt.IsTrue)
	c.Assert(p.recordAlive(now), qt.IsFalse)
	c.Assert(p.mayHaveWaited(now+backlogTime-1), qt.IsTrue)
	c.Assert(p.mayHaveWaited(now+backlogTime), qt.IsFalse)
}

// Guards against a host that takes packets for fresh that waited before it read the first.
func TestSlowStartIsAPause(t *testing.T) {
	var p pauses
	qt.Assert(t, p.recordAlive(maxAliveGap+time.Millisecond), qt.IsTrue)
}
