package fleet

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/document"
	"greengagequay/internal/evacuation"
	"greengagequay/internal/feed"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
)

// Guards against an old end of an evacuation that counts as fresh after a restart, when
// all servers of the zone would be treated as cold again, and against a negative age.
func TestAgeOfAnEnd(t *testing.T) {
	c := qt.New(t)
	wall := time.Unix(1_700_000_000, 0)
	ended := func(revision uint64, at time.Time) evacuation.Set {
		set, _ := evacuation.Set{}.Apply(1, evacuation.Order{Zone: "a", Evacuate: true})
		set, _ = set.Apply(revision, evacuation.Order{Zone: "a", Base: 1, At: at})
		return set
	}
	var l orderLog
	justEnded, changed := l.update(ended(2, wall.Add(-time.Hour)), time.Second, wall)
	c.Assert(changed, qt.IsTrue)
	c.Assert(justEnded, qt.HasLen, 0, qt.Commentf("no warm-up begins with an order from before the start"))
	c.Assert(l.position(), qt.Equals, uint64(0), qt.Commentf("a blank host sends nothing before its replica is current"))
	l.current = true
	c.Assert(l.position(), qt.Equals, uint64(3))
	c.Assert(l.message(11 * time.Second).Ended["a"], qt.Equals, time.Hour+10*time.Second)
	justEnded, changed = l.update(ended(5, wall.Add(time.Hour)), 2*time.Minute, wall)
	c.Assert(changed, qt.IsTrue)
	c.Assert(justEnded, qt.DeepEquals, []string{"a"})
	c.Assert(l.message(3 * time.Minute).Ended["a"], qt.Equals, time.Minute, qt.Commentf("applied by the running host: the clocks of others do not matter"))

	l = orderLog{restored: true}
	c.Assert(l.position(), qt.Equals, uint64(1), qt.Commentf("a host that has restored a document sends its set with it"))
	l.update(ended(2, wall.Add(time.Hour)), time.Second, wall)
	c.Assert(l.message(time.Second).Ended["a"], qt.Equals, time.Duration(0), qt.Commentf("the clock of the other host is ahead"))
}

// Guards against a host without a disk that sends the orders that it has caught up with
// so far: an entry host would place flows in a zone that was evacuated later.
func TestBlankHostSendsNoOrdersWhileItCatchesUp(t *testing.T) {
	c := qt.New(t)
	entry := feed.HostInfo{Addr: "e1"}
	start := func(r *replica.Replica) *ControlHost {
		h := newBenchControl(nil)
		t.Cleanup(h.cancel)
		h.features.Evacuations, h.replica = true, r
		h.restoreEvacuations()
		return h
	}
	r := replica.New()
	blank := start(r)
	for i, command := range []state.Command{
		{Document: &document.Document{Version: 2}}, {Evacuation: &evacuation.Order{Zone: "a", Evacuate: true}},
	} {
		data, err := state.Encode(command)
		c.Assert(err, qt.IsNil)
		_, err = r.Apply(replica.Entry{Revision: uint64(i + 1), Data: data})
		c.Assert(err, qt.IsNil)
		blank.noteEvacuations(false)
		c.Assert(blank.Position(entry).Evacuations, qt.Equals, uint64(0))
	}
	blank.noteEvacuations(true)
	c.Assert(blank.Position(entry).Evacuations, qt.Equals, uint64(3))

	restored := start(r) // from the same state on disk
	u, _, _ := restored.Next(feed.Hello{From: entry}, feed.Cursor{})
	c.Assert(u.Evacuations.Set.Evacuated(), qt.HasLen, 1)
}

// endedContext has ended, but its channel is not closed yet.
type endedContext struct{ context.Context }

func (endedContext) Err() error { return context.Canceled }

// Guards against an order whose sender disconnects at the end of the wait: of two events
// that are ready, select takes any.
func TestSenderDisconnectsAtTheEndOfTheWait(t *testing.T) {
	qt.Assert(t, staysConnected(endedContext{context.Background()}), qt.IsFalse)
	qt.Assert(t, staysConnected(context.Background()), qt.IsTrue)
}
