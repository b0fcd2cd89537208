package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
)

// Guards against a backend server with all its connections taken that is reported as
// failed to all hosts while it answers on its open flows.
func TestFullServerIsAvoidedAndNotReported(t *testing.T) {
	for answeredAt, reported := range map[time.Duration]bool{150 * time.Millisecond: false, -time.Second: true} {
		s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
		s.suspects.recordAnswer(100*time.Millisecond, "x2")
		s.RecordRequestAnswer(answeredAt, "x1", 1)
		s.Decide(0, syn(1, orders, 0)) // goes to x1
		d := s.Decide(200*time.Millisecond, syn(1, orders, 1))
		qt.Assert(t, d.Unanswered != nil, qt.Equals, reported, qt.Commentf("answered at %v", answeredAt))
		s.RecordRequestAnswer(300*time.Millisecond, "x1", 1)
		qt.Assert(t, s.Decide(400*time.Millisecond, syn(2, orders, 0)).Server.ID, qt.Equals, "x2")
	}
}

// Guards against new flows for a backend server that refuses all connections, and
// against avoiding it for longer once it takes them again.
func TestRefusalIsAvoidedForOneSuspicion(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	for range 3 {
		s.RecordRefusal(0, "x1", 1)
	}
	qt.Assert(t, s.Decide(0, syn(1, orders, 0)).Server.ID, qt.Equals, "x2")
	qt.Assert(t, s.Decide(suspectDuration, syn(2, orders, 0)).Server.ID, qt.Equals, "x1")
}

// Guards against a late refusal by an earlier start, or a late report about it, that
// ends the suspicion of the present start.
func TestSuspicionOfEarlierStart(t *testing.T) {
	s := newSuspects()
	s.add(0, "x", 2)
	s.avoid(0, "x", 1, suspectDuration)
	s.add(0, "x", 1)
	later := &Server{Record: catalog.Record{Heartbeat: catalog.Heartbeat{ID: "x", Born: 2}}}
	qt.Check(t, s.contains(suspectDuration/2, later), qt.IsTrue)
}
