package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/codec"
	"greengagequay/internal/feed"
)

// Guards against control hosts that never learn that another one has lost its last
// follower. They would go on counting it as connected, and replace no admission that
// names it.
func TestLossOfTheLastFollowerIsSent(t *testing.T) {
	c := qt.New(t)
	from, to := newBenchControl(nil), newBenchControl(nil)
	defer from.cancel()
	defer to.cancel()
	hello := feed.Hello{From: to.info}
	var cursor feed.Cursor
	send := func() {
		u, next, ok := from.Next(hello, cursor)
		c.Assert(ok, qt.IsTrue)
		data, err := codec.Marshal(u)
		c.Assert(err, qt.IsNil)
		var received feed.Update
		c.Assert(codec.Unmarshal(data, &received), qt.IsNil)
		to.Updated("c2", received)
		cursor = next
	}
	entry := feed.HostInfo{Addr: "e1"}
	from.FollowerChanged(entry, true)
	send()
	c.Assert(to.entryHosts.all(), qt.DeepEquals, []feed.HostInfo{entry})
	from.FollowerChanged(entry, false)
	send()
	c.Assert(to.entryHosts.all(), qt.HasLen, 0)
}
