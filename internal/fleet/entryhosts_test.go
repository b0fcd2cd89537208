package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
)

// Guards against an entry host that connects anew and is then removed because its
// former connection ends, and against hosts of a lost control host that stay listed.
func TestEntryHosts(t *testing.T) {
	c := qt.New(t)
	a, b := feed.HostInfo{Name: "a", Addr: "10.0.0.1:7000"}, feed.HostInfo{Name: "b", Addr: "10.0.0.2:7000"}
	e := newEntryHosts()
	c.Assert(e.followerChanged(a, true), qt.IsTrue)
	c.Assert(e.followerChanged(a, true), qt.IsFalse)
	c.Assert(e.followerChanged(a, false), qt.IsFalse)
	c.Assert(e.ownList(), qt.DeepEquals, []feed.HostInfo{a})
	e.setRemote("10.0.0.9:7000", []feed.HostInfo{b, a})
	c.Assert(e.all(), qt.DeepEquals, []feed.HostInfo{a, b})
	e.setRemote("10.0.0.9:7000", nil)
	c.Assert(e.all(), qt.DeepEquals, []feed.HostInfo{a})
	c.Assert(e.followerChanged(a, false), qt.IsTrue)
	c.Assert(e.all(), qt.HasLen, 0)
	c.Assert(e.ownRevision(), qt.Equals, uint64(2))
}
