package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
)

// joined returns a network after all its hosts have joined.
func joined(c *qt.C, seed uint64, zones, perZone int) *network {
	nw := newNetwork(seed, zones, perZone)
	took := nw.runUntil(10*time.Minute, nw.viewsMatchRunning)
	c.Assert(nw.viewsMatchRunning(), qt.IsTrue, qt.Commentf("not joined after %v", took))
	nw.run(2 * time.Second)
	return nw
}

func TestJoin(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, size := range [][2]int{{1, 2}, {3, 7}, {4, 5}, {8, 8}} {
		nw := newNetwork(1, size[0], size[1])
		nw.lossRate = 0.02
		took := nw.runUntil(time.Minute, nw.viewsMatchRunning)
		c.Check(nw.viewsMatchRunning(), qt.IsTrue, qt.Commentf("%v", size))
		t.Logf("%d zones of %d hosts joined after %v", size[0], size[1], took)
	}
}

func TestDeadHostDetectedInItsZone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 2, 3, 7)
	nw.lossRate = 0.02
	dead := nw.nodes[3]
	dead.down = true
	took := nw.runUntil(10*time.Second, func() bool { return nw.allSee(dead.self.Name, dead.self.Zone, model.Dead) })
	t.Logf("detected after %v", took)
	c.Assert(took <= 3*time.Second, qt.IsTrue)
}
