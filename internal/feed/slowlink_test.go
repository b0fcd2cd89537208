package feed

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/simlink"
)

// slowLinkMbps is the rate of the link of a small entry host.
const slowLinkMbps = 1.4

// followOver starts a server and follows it over a link.
func followOver(t *testing.T, link *simlink.Link, src Source, self HostInfo, deferred bool) (*Connection, *sink) {
	listener := simlink.Listen()
	server := Serve(listener, src)
	t.Cleanup(server.Close)
	received := &sink{connected: make(chan bool, 8), updates: make(chan Update, 100)}
	conn, err := link.Dial(listener)
	qt.Assert(t, err, qt.IsNil)
	c, err := FollowConn(t.Context(), conn, Target{Addr: "c1", Defer: func() bool { return deferred }}, self, received)
	qt.Assert(t, err, qt.IsNil)
	return c, received
}

// A large state takes longer than the timeouts of a connection, and still arrives.
func TestLargeStateOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		src.revision = 8000
		started := time.Now()
		uncompressed := HostInfo{Name: "c2", Control: true}
		conn, received := followOver(t, simlink.New(slowLinkMbps), src, uncompressed, false)
		select {
		case u := <-received.updates:
			qt.Assert(t, u.Records, qt.HasLen, 8000)
			qt.Assert(t, time.Since(started) > 2*readTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		case <-conn.Done():
			t.Error("the connection ended before the state arrived")
		}
	})
}

// A connection over which nothing more arrives ends, also within a frame.
func TestStalledTransferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		go func() {
			var hello Hello
			_ = readFrame(server, &hello)
			frame, _ := encodeFrame(Update{Records: make([]catalog.Record, 100)}, true)
			_, _ = server.Write(frame[:len(frame)/2])
			_ = readFrame(server, &hello) // heartbeats are read until the follower closes
			for readFrame(server, &hello) == nil {
			}
		}()
		started := time.Now()
		received := &sink{connected: make(chan bool, 8), updates: make(chan Update, 100)}
		conn, err := FollowConn(t.Context(), client, Target{}, HostInfo{}, received)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(syncStallTimeout + time.Millisecond)
		qt.Assert(t, conn.SyncState(), qt.Equals, Stalled)
		<-conn.Done()
		qt.Assert(t, time.Since(started), qt.Equals, readTimeout)
	})
}

func TestDeferredFollowerGetsStateOnlyAfterSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		src := newSource()
		src.revision = 3
		conn, received := followOver(t, simlink.New(slowLinkMbps), src, HostInfo{Name: "e1"}, true)
		for range 5 { // it also keeps the connection alive
			u := <-received.updates
			c.Assert(u.From.Addr, qt.Equals, "c1")
			c.Assert(u.Records, qt.HasLen, 0)
		}
		c.Assert(conn.SyncState(), qt.Equals, NotRequested)
		c.Assert(received.connected, qt.HasLen, 0)
		conn.Sync()
		c.Assert(conn.SyncState(), qt.Equals, Syncing)
		c.Assert(received.receiveIDs(3), qt.Equals, "bcd")
		c.Assert(conn.SyncState(), qt.Equals, Synced)
		c.Assert(<-received.connected, qt.IsTrue)
	})
}

// While many entry hosts connect at once, the server encodes its state once.
func TestStateIsEncodedOnceForAllFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		src := newSource()
		src.follower = make(chan bool, 200)
		src.revision = 3
		listener := simlink.Listen()
		server := Serve(listener, src)
		defer server.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var sinks []*sink
		for i := range 40 {
			conn, err := simlink.New(slowLinkMbps).Dial(listener)
			c.Assert(err, qt.IsNil)
			received := &sink{connected: make(chan bool, 8), updates: make(chan Update, 100)}
			_, err = FollowConn(ctx, conn, Target{}, HostInfo{Name: fmt.Sprint(i)}, received)
			c.Assert(err, qt.IsNil)
			sinks = append(sinks, received)
		}
		for _, s := range sinks {
			c.Assert(s.receiveIDs(3), qt.Equals, "bcd")
		}
		c.Assert(src.encoded, qt.Equals, 1)
		src.add()
		for _, s := range sinks {
			c.Assert(s.receiveIDs(1), qt.Equals, "e")
		}
		c.Assert(src.encoded, qt.Equals, 2)
	})
}

// Changes that come closer together than minUpdateInterval are sent in one update.
func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		src := newSource()
		src.revision = 1
		_, received := followOver(t, simlink.New(slowLinkMbps), src, HostInfo{Name: "e1"}, false)
		c.Assert(received.receiveIDs(1), qt.Equals, "b")
		time.Sleep(minUpdateInterval)
		src.add()
		c.Assert(received.receiveIDs(1), qt.Equals, "c")
		src.add()
		src.add()
		time.Sleep(2 * minUpdateInterval)
		c.Assert((<-received.updates).Records, qt.HasLen, 2)
	})
}

// Records of backend servers are sent in less than a third of their size.
func TestCompression(t *testing.T) {
	c := qt.New(t)
	var u Update
	for i := range 300 {
		u.Records = append(u.Records, catalog.Record{
			Heartbeat: catalog.Heartbeat{
				ID: fmt.Sprintf("i-%010x", 7919*i*i+i), Service: "orders", Zone: "zone-a", Slots: 2, Born: int64(1792505440744 + 331*i), Sequence: uint64(i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 64, byte(i)}), 8080),
			},
			Owner: "10.2.0.42:7580",
		})
	}
	plain, err := encodeFrame(u, false)
	c.Assert(err, qt.IsNil)
	compressed, err := encodeFrame(u, true)
	c.Assert(err, qt.IsNil)
	t.Logf("%d and %d bytes for 300 records", len(plain), len(compressed))
	c.Assert(3*len(compressed) < len(plain), qt.IsTrue)
}
