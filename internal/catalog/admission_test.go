package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/warmup"
)

// oneHost is a single entry host, connected or not.
type oneHost struct {
	addr      string
	connected bool
}

func (h oneHost) All() []warmup.Host         { return []warmup.Host{{Addr: h.addr, Zone: "a"}} }
func (h oneHost) AnyConnected([]string) bool { return h.connected }

// Guards against a message for each heartbeat of a cold backend server, against entry
// hosts that do not learn that it is cold, and against more than two admissions in one
// warm-up, also if the owner changes.
func TestWarmup(t *testing.T) {
	service := ColdService{PerSecond: 5, Warmup: 2 * time.Second}
	c := New(Config{Self: "c1", Interval: interval, ColdBound: true})
	tests := []struct {
		at, left     time.Duration
		connected    bool
		changed      bool
		owner, hosts string
		generation   uint32
	}{
		{0, 2 * time.Second, false, true, "c1", "e1", 1},
		{time.Second, time.Second, true, false, "c1", "e1", 1},
		{1100 * time.Millisecond, 900 * time.Millisecond, false, false, "c1", "e1", 1},
		{1700 * time.Millisecond, 300 * time.Millisecond, false, true, "c1", "e2", 2},
		{1800 * time.Millisecond, 2 * time.Second, false, true, "c2", "e2", 2}, // cold again; a new owner keeps the admission
		{3 * time.Second, 800 * time.Millisecond, false, false, "c2", "e2", 2},
		{4 * time.Second, 0, false, true, "c2", "e2", 2},
		{20 * time.Second, 2 * time.Second, false, true, "c2", "e3", 3}, // another warm-up
	}
	for i, tt := range tests {
		c.Tick(tt.at)
		if tt.owner != c.cfg.Self {
			next := New(Config{Self: tt.owner, Interval: interval, ColdBound: true})
			next.Merge(tt.at, c.cfg.Self, c.Since(0, ""))
			c = next
		}
		before := c.SteeringRevision()
		h := heartbeat("x", 1, uint64(i+1))
		h.WarmLeft = tt.left
		c.ReceiveHeartbeat(tt.at, h)
		c.Admit(tt.at, "x", service, oneHost{tt.hosts, tt.connected})
		e := c.entries["x"]
		comment := qt.Commentf("heartbeat %d", i)
		qt.Check(t, c.SteeringRevision() != before, qt.Equals, tt.changed, comment)
		qt.Check(t, *e.Admission, qt.DeepEquals, warmup.Admission{Hosts: []string{tt.hosts}, Each: 2, Generation: tt.generation, Final: tt.generation == 2}, comment)
	}
}

// Guards against a control host that starts long after an admission, becomes the owner,
// and makes one that entry hosts take for an older one: they would keep the hosts of an
// earlier warm-up, and up to three admissions could be in force.
func TestLaterOwnerContinuesTheGenerations(t *testing.T) {
	service := ColdService{PerSecond: 5, Warmup: 2 * time.Second}
	entry := New(Config{Interval: interval, ColdBound: true})
	beat := func(c *Catalog, at, left time.Duration, sequence uint64, host string) {
		c.Tick(at)
		h := heartbeat("x", 1, sequence)
		h.WarmLeft = left
		c.ReceiveHeartbeat(at, h)
		c.Admit(at, "x", service, oneHost{host, true})
		entry.Merge(at, c.cfg.Self, c.SteeringSince(0))
	}
	first := New(Config{Self: "c1", Interval: interval, ColdBound: true})
	beat(first, 0, 2*time.Second, 1, "e1")
	beat(first, 3*time.Second, 0, 2, "e1")
	beat(first, 20*time.Second, 2*time.Second, 3, "e2")
	beat(first, 23*time.Second, 0, 4, "e2")
	beat(first, 110*time.Second, 0, 5, "e2")
	later := New(Config{Self: "c2", Interval: interval, ColdBound: true})
	later.Merge(110*time.Second, "c1", first.Since(0, ""))
	qt.Assert(t, later.Merge(110*time.Second, "c1", first.Since(0, "")), qt.IsFalse, qt.Commentf("nothing new"))
	qt.Assert(t, later.SteeringSince(0)[0].Admission, qt.IsNil, qt.Commentf("entry hosts do not need it"))
	beat(later, 111*time.Second, 2*time.Second, 6, "e3")
	qt.Assert(t, *entry.entries["x"].Admission, qt.DeepEquals, warmup.Admission{Hosts: []string{"e3"}, Each: 2, Generation: 3})
	first.Merge(111*time.Second, "c2", later.Since(0, ""))
	qt.Assert(t, first.entries["x"].Admission.Hosts, qt.DeepEquals, []string{"e3"})
}
