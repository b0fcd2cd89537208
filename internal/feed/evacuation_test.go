package feed

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/evacuation"
)

// orderSource sends a set of orders, and for how long the evacuation of zone-1 has ended.
type orderSource struct {
	*source
	set     evacuation.Set
	endedAt time.Time // zero if it has not ended
}

func (s *orderSource) Position(HostInfo) Cursor {
	return Cursor{Started: true, Evacuations: s.set.Revision + 1}
}

func (s *orderSource) Next(to Hello, _ Cursor) (Update, Cursor, bool) {
	e := &Evacuations{Set: s.set}
	if !s.endedAt.IsZero() {
		e.Ended = map[string]time.Duration{"zone-1": time.Since(s.endedAt)}
	}
	return Update{Evacuations: e}, s.Position(to.From), true
}

func (s *orderSource) order(zone string, evacuate bool) {
	r := s.set.Revision + 1
	s.set, _ = s.set.Apply(r, evacuation.Order{Zone: zone, Evacuate: evacuate, Base: r, At: time.Unix(1_700_000_000, 1), From: "control-12"})
}

// Guards against an old end of an evacuation that a frame from the cache shows as fresh.
func TestAgeOfAnEndIsNotTakenFromTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{source: &orderSource{source: newSource(), endedAt: time.Now()}}
		for _, age := range []time.Duration{0, time.Hour} {
			time.Sleep(age)
			frame, _, err := server.nextFrame(Hello{}, Cursor{})
			qt.Assert(t, err, qt.IsNil)
			var u Update
			qt.Assert(t, readFrame(bytes.NewReader(frame), &u), qt.IsNil)
			qt.Assert(t, u.Evacuations.Ended["zone-1"], qt.Equals, age)
		}
	})
}

// BenchmarkOrder measures what one order about a zone costs with 1,400 followers, in a
// deployment of 6 zones that have all had an order.
func BenchmarkOrder(b *testing.B) {
	const followers, zones = 1400, 6
	src := &orderSource{source: newSource()}
	for zone := range zones {
		src.order(fmt.Sprint("zone-", zone), true)
	}
	server := &Server{source: src}
	sent, orders := 0, 0
	for b.Loop() {
		before := src.Position(HostInfo{})
		src.order("zone-1", orders%2 == 1)
		orders++
		for range followers {
			frame, _, err := server.nextFrame(Hello{Compressed: true, Deltas: true}, before)
			qt.Assert(b, err, qt.IsNil)
			sent += len(frame)
		}
	}
	b.ReportMetric(float64(sent)/float64(followers*orders), "B/follower")
}
