package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/member"
)

// allHaveItem reports whether every running node of the zone, or of all zones if
// zone is empty, has the item in the given version.
func (nw *network) allHaveItem(key, zone string, version uint64) bool {
	for _, n := range nw.nodes {
		if n.down || (zone != "" && n.self.Zone != zone) {
			continue
		}
		found := false
		for _, i := range n.core.Items() {
			found = found || (i.Key == key && i.Version == version)
		}
		if !found {
			return false
		}
	}
	return true
}

func (nw *network) publish(n *node, key string, version uint64, body string) {
	n.core.Publish(member.Item{Key: key, Zone: n.self.Zone, Version: version, Body: []byte(body)})
}

func TestDrainIsKnownEverywhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 20, 8, 8)
	nw.lossRate = 0.02
	for i := range 10 {
		nw.publish(nw.nodes[(11*i)%64], "b/x", uint64(i+1), "draining")
		took := nw.runUntil(10*time.Second, func() bool { return nw.allHaveItem("b/x", "", uint64(i+1)) })
		t.Logf("known to all hosts after %v", took)
		c.Check(took <= 3*time.Second, qt.IsTrue)
	}
}

func TestDrainDuringPartition(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 21, 3, 7)
	nw.lossRate = 0.02
	inside, outside := nw.byAddr["z02-01"], nw.byAddr["z00-01"]
	nw.publish(inside, "b/x", 1, "ready")
	nw.run(5 * time.Second)
	nw.blocked = func(from, to *node) bool { return (from.self.Zone == "z02") != (to.self.Zone == "z02") }
	nw.run(10 * time.Second)
	nw.publish(inside, "b/x", 3, "draining")
	nw.publish(outside, "b/x", 2, "ready") // older than the drain but published after it
	took := nw.runUntil(10*time.Second, func() bool { return nw.allHaveItem("b/x", "z02", 3) })
	c.Check(took <= 3*time.Second, qt.IsTrue)
	nw.run(30 * time.Second)
	nw.blocked = nil
	took = nw.runUntil(time.Minute, func() bool { return nw.allHaveItem("b/x", "", 3) })
	t.Logf("known to all hosts %v after the partition ended", took)
	c.Check(nw.allHaveItem("b/x", "", 3), qt.IsTrue)
}

// TestFloodOfItems checks that a flood of items, which delays updates, causes no
// eviction and keeps every host within maxBytes.
func TestFloodOfItems(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 22, 3, 4)
	evicted := evictions(nw)
	nw.run(time.Minute) // lets the byte budgets fill up
	for _, n := range nw.nodes {
		n.bytes = 0
	}
	const seconds = 150
	for i := range seconds {
		for j := range 100 {
			nw.publish(nw.nodes[i%12], "b/"+string(rune('a'+i%7))+string(rune('0'+j)), uint64(i+1), "a body of some forty bytes or a bit more")
		}
		nw.run(time.Second)
	}
	worst := int64(0)
	for _, n := range nw.nodes {
		worst = max(worst, n.bytes/seconds)
	}
	t.Logf("at most %d B/s on a host", worst)
	c.Check(worst <= maxBytes, qt.IsTrue)
	c.Check(*evicted, qt.Equals, 0)
}
