package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/feed"
	"greengagequay/internal/pace"
)

// Guards against changes that followers learn of only at the next heartbeat, and against
// a position of its own for each change while thousands of backend servers start.
func TestChangesArePublishedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newBenchControl(nil)
		defer h.log.Close(time.Second)
		defer h.cancel()
		h.enablePublishing()
		time.Sleep(time.Second)
		entry := feed.Hello{From: feed.HostInfo{Addr: "e1"}}
		announce := func(n byte) {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
			c.Assert(h.Announce(catalog.Heartbeat{ID: fmt.Sprint(n), Service: "orders", Address: address, Born: 1, Sequence: 1}), qt.IsNil)
		}
		_, cursor, _ := h.Next(entry, feed.Cursor{})
		announce(1)
		u, cursor, ok := h.Next(entry, cursor)
		c.Assert(ok, qt.IsTrue, qt.Commentf("after a quiet time a change is published at once"))
		c.Assert(u.Records, qt.HasLen, 1)

		changed, began := h.Changed(), time.Now()
		for n := range byte(3) {
			announce(2 + n)
			time.Sleep(time.Millisecond)
		}
		c.Assert(h.Position(entry.From), qt.Equals, cursor)
		<-changed
		c.Assert(time.Since(began), qt.Equals, minPublishInterval)
		u, cursor, ok = h.Next(entry, cursor)
		c.Assert(ok, qt.IsTrue)
		c.Assert(u.Records, qt.HasLen, 3)
		_, _, ok = h.Next(entry, cursor)
		c.Assert(ok, qt.IsFalse)

		control := feed.HostInfo{Control: true}
		before := h.Position(control)
		h.FollowerChanged(feed.HostInfo{Addr: "e2"}, true)
		c.Assert(h.Position(control), qt.Equals, before, qt.Commentf("the list of followers is published once a tick"))
		c.Assert(h.publishFollowers(), qt.IsTrue)
		c.Assert(h.Position(control).Followers, qt.Equals, uint64(1))
	})
}

// Guards against a new backend server whose record reaches an entry host between two
// publications, and thus before its share: it would get a full share of new flows. Also
// against a share that stays low at that entry host.
func TestRecordBetweenPublicationsComesWithItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newBenchControl(nil)
		defer h.log.Close(time.Second)
		defer h.cancel()
		h.features.Pace, h.shares.pool = true, pace.NewPool()
		announce := func(id string, n byte) {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
			c.Assert(h.Announce(catalog.Heartbeat{ID: id, Service: "orders", Address: address, Born: 1, Sequence: 1}), qt.IsNil)
		}
		for n := range byte(4) {
			announce(fmt.Sprint("old", n), n)
		}
		h.enablePublishing()
		time.Sleep(time.Minute) // the pool takes further ones for new
		entry := feed.Hello{From: feed.HostInfo{Addr: "e1"}}
		_, cursor, _ := h.Next(entry, feed.Cursor{})
		h.changes.notify()
		announce("new", 9)
		h.Reported(feed.HostInfo{Addr: "e2"}, feed.Report{Suspects: []feed.Suspect{{ID: "old1"}}})
		u, cursor, _ := h.Next(entry, cursor)
		c.Assert(u.Records, qt.HasLen, 1)
		c.Assert(u.Levels, qt.HasLen, 1)
		c.Assert(u.Levels[0].Share < pace.FullShare, qt.IsTrue)

		for below := 1; below > 0; time.Sleep(pace.TickInterval) { // it rises to full before the follower's next update
			h.mu.Lock()
			h.shares.pool.Tick(h.now())
			below = h.shares.pool.Service("orders").Below
			h.mu.Unlock()
		}
		h.changes.publish()
		u, _, _ = h.Next(entry, cursor)
		c.Assert(u.Levels, qt.HasLen, 1)
		c.Assert(u.Levels[0].Share, qt.Equals, uint8(pace.FullShare))
	})
}
