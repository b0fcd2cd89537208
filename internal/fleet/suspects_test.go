package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
)

func TestSuspectLog(t *testing.T) {
	c := qt.New(t)
	var l suspectLog
	l.add("a", []feed.Suspect{{ID: "x1"}})
	l.add("b", []feed.Suspect{{ID: "x2"}})
	c.Assert(l.since(0), qt.DeepEquals, []feed.Suspect{{ID: "x1", Reporter: "a"}, {ID: "x2", Reporter: "b"}})
	c.Assert(l.since(1), qt.DeepEquals, []feed.Suspect{{ID: "x2", Reporter: "b"}})
	c.Assert(l.since(2), qt.HasLen, 0)
	for range 2 * maxSuspects { // more than are kept
		l.add("a", []feed.Suspect{{ID: "x3"}})
	}
	c.Assert(l.recent, qt.HasLen, maxSuspects)
	c.Assert(l.since(0), qt.HasLen, maxSuspects)
	c.Assert(l.since(l.revision-1), qt.HasLen, 1)
}
