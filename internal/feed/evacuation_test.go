package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/evacuation"
	"greengagequay/internal/simlink"
)

// orderSource sends a set of orders, and since when the evacuation of its zones ended.
type orderSource struct {
	*source
	set     evacuation.Set
	endedAt time.Time // zero if none has ended
}

func (s *orderSource) Position(HostInfo) Cursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Cursor{Started: true, Evacuations: s.set.Revision + 1}
}

func (s *orderSource) Next(to Hello, after Cursor) (Update, Cursor, bool) {
	next := s.Position(to.From)
	s.mu.Lock()
	defer s.mu.Unlock()
	if next == after {
		return Update{}, after, false
	}
	u := Update{Evacuations: &Evacuations{Set: s.set}}
	if !s.endedAt.IsZero() {
		u.Evacuations.Ended = map[string]time.Duration{"zone-1": time.Since(s.endedAt)}
	}
	return u, next, true
}

// order applies an order about a zone, and notifies the followers.
func (s *orderSource) order(zone string, evacuate bool) {
	s.mu.Lock()
	r := s.set.Revision + 1
	s.set, _ = s.set.Apply(r, evacuation.Order{Zone: zone, Evacuate: evacuate, Base: r, At: time.Unix(1_700_000_000, 1), From: "control-12"})
	s.mu.Unlock()
	s.add()
}

// Guards against an old end of an evacuation that a frame from the cache shows as fresh.
func TestAgeOfAnEndIsNotTakenFromTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		src := &orderSource{source: newSource(), endedAt: time.Now()}
		listener := simlink.Listen()
		server := Serve(listener, src)
		defer server.Close()
		follow := func() time.Duration {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			conn, err := simlink.New(slowLinkMbps).Dial(listener)
			c.Assert(err, qt.IsNil)
			received := newSink()
			_, err = FollowConn(ctx, conn, Target{}, HostInfo{Name: "e"}, received)
			c.Assert(err, qt.IsNil)
			for {
				if u := <-received.updates; u.Evacuations != nil {
					return u.Evacuations.Ended["zone-1"]
				}
			}
		}
		c.Assert(follow() < time.Second, qt.IsTrue)
		time.Sleep(time.Hour)
		c.Assert(follow() >= time.Hour, qt.IsTrue)
	})
}

// BenchmarkOrder measures the bytes that one order about a zone costs each of 1,400
// followers, in a deployment of 6 zones that have all had an order.
func BenchmarkOrder(b *testing.B) {
	const followers, zones = 1400, 6
	c := qt.New(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	src := &orderSource{source: newSource()}
	src.follower = make(chan bool, 2*followers)
	for zone := range zones {
		src.order(fmt.Sprint("zone-", zone), true)
	}
	server := Serve(listener, src)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes atomic.Int64
	received := &revisionSink{}
	received.expect(followers, src.set.Revision)
	for i := range followers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = FollowConn(ctx, countingConn{conn, &bytes}, target(""), HostInfo{Name: fmt.Sprint(i)}, received)
		c.Assert(err, qt.IsNil)
	}
	received.waiting.Wait()
	before, orders := bytes.Load(), 0
	for b.Loop() {
		received.expect(followers, src.set.Revision+1)
		src.order("zone-1", orders%2 == 1)
		received.waiting.Wait()
		orders++
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(followers*orders), "B/follower")
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// revisionSink counts the followers that lack a set of orders.
type revisionSink struct {
	discardSink
	waiting sync.WaitGroup
	wanted  atomic.Uint64
}

func (s *revisionSink) expect(followers int, revision uint64) {
	s.wanted.Store(revision)
	s.waiting.Add(followers)
}

func (s *revisionSink) Updated(_ string, u Update) {
	if u.Evacuations != nil && u.Evacuations.Set.Revision == s.wanted.Load() {
		s.waiting.Done()
	}
}
