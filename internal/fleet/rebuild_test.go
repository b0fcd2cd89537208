package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRebuildShare plays changes that come every millisecond, with tables that take
// a given time. The host must spend no more than rebuildShare on tables, and each
// change must be in a table within maxRebuildDelay and the time for one table.
func TestRebuildShare(t *testing.T) {
	c := qt.New(t)
	const span = 10 * time.Second
	for _, took := range []time.Duration{10 * time.Microsecond, 2 * time.Millisecond, 20 * time.Millisecond} {
		var p rebuildPacer
		var spent, oldest time.Duration
		waiting := time.Duration(-1) // when the oldest change came that is in no table
		for now := time.Duration(0); now < span; now += time.Millisecond {
			if waiting < 0 {
				waiting = now
			}
			if p.delay(now) > 0 {
				continue
			}
			oldest = max(oldest, now+took-waiting)
			p.record(now, now+took)
			spent += took
			waiting = -1
			now += took.Truncate(time.Millisecond)
		}
		c.Check(spent <= time.Duration(rebuildShare*float64(span))+took, qt.IsTrue, qt.Commentf("%v: %v", took, spent))
		c.Check(oldest <= maxRebuildDelay+took+time.Millisecond, qt.IsTrue, qt.Commentf("%v: %v", took, oldest))
	}
}

// A table that takes very long is still built for each change in time.
func TestRebuildDelayIsLimited(t *testing.T) {
	var p rebuildPacer
	qt.Check(t, p.delay(0), qt.Equals, time.Duration(0))
	p.record(0, time.Second)
	qt.Check(t, p.delay(time.Second), qt.Equals, maxRebuildDelay)
	qt.Check(t, p.delay(time.Second+maxRebuildDelay), qt.Equals, time.Duration(0))
}
