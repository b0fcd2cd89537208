package feed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
)

// source provides one record for each revision.
type source struct {
	mu       sync.Mutex
	revision uint64
	encoded  int // calls of Next
	changed  chan struct{}
	follower chan bool
	reports  chan Report
	errors   chan error // of reports that could not be decoded
}

func newSource() *source {
	return &source{
		changed: make(chan struct{}), follower: make(chan bool, 8), reports: make(chan Report, 8), errors: make(chan error, 8),
	}
}

func (s *source) Greeting() Update { return Update{From: HostInfo{Addr: "c1"}} }

func (s *source) Position(HostInfo) Cursor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Cursor{Revision: s.revision, Started: true}
}

func (s *source) Next(_ Hello, after Cursor) (Update, Cursor, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoded++
	next := Cursor{Revision: s.revision, Started: true}
	if next == after {
		return Update{}, after, false
	}
	var u Update
	for r := after.Revision + 1; r <= s.revision; r++ {
		u.Records = append(u.Records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: string(rune('a' + r))}})
	}
	return u, next, true
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) FollowerChanged(_ HostInfo, connected bool) { s.follower <- connected }
func (s *source) Reported(_ HostInfo, r Report)              { s.reports <- r }
func (s *source) FrameFailed(_ string, err error)            { s.errors <- err }

// sink queues updates and changes of connections.
type sink struct {
	connected chan bool
	updates   chan Update
	errors    chan error // of updates that could not be decoded
}

func newSink() *sink {
	return &sink{connected: make(chan bool, 8), updates: make(chan Update, 100), errors: make(chan error, 8)}
}

func (s *sink) ConnectionChanged(_ string, connected bool) { s.connected <- connected }
func (s *sink) Updated(_ string, u Update)                 { s.updates <- u }
func (s *sink) FrameFailed(_ string, err error)            { s.errors <- err }

// receiveIDs waits for n records and returns their ids, one character each.
func (s *sink) receiveIDs(n int) (ids string) {
	for len(ids) < n {
		for _, r := range (<-s.updates).Records {
			ids += r.ID
		}
	}
	return ids
}

const testDialTimeout = 10 * time.Second // long enough for a loaded machine

func target(addr string) Target {
	return Target{Addr: addr, DialAddr: addr, Timeout: testDialTimeout}
}

func follow(c *qt.C, s *source) (*Connection, *sink) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := Serve(listener, s)
	c.Cleanup(server.Close)
	received := newSink()
	addr := listener.Addr().String()
	conn, err := Follow(context.Background(), target(addr), HostInfo{Name: "e1"}, received)
	c.Assert(err, qt.IsNil)
	return conn, received
}

func TestFollowerReceivesMissingUpdates(t *testing.T) {
	c := qt.New(t)
	s := newSource()
	s.add()
	s.add()
	conn, received := follow(c, s)
	c.Assert(received.receiveIDs(2), qt.Equals, "bc")
	c.Assert(<-received.connected, qt.IsTrue)
	c.Assert(<-s.follower, qt.IsTrue)
	s.add()
	c.Assert(received.receiveIDs(1), qt.Equals, "d")
	conn.Report(Report{Suspects: []Suspect{{ID: "x", Born: 3}}})
	c.Assert((<-s.reports).Suspects, qt.DeepEquals, []Suspect{{ID: "x", Born: 3}})
	conn.Close()
	c.Assert(<-s.follower, qt.IsFalse)
	<-conn.Done()
	c.Assert(<-received.connected, qt.IsFalse)
}

// A connection ends if the host accepts it and then sends nothing.
func TestHostThatSendsNothingTimesOut(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	received := newSink()
	addr := listener.Addr().String()
	conn, err := Follow(context.Background(), target(addr), HostInfo{}, received)
	c.Assert(err, qt.IsNil)
	<-conn.Done()
	c.Assert(received.connected, qt.HasLen, 0)
}

// A frame that can't be decoded is reported by the side that received it.
func TestUndecodableFramesAreReported(t *testing.T) {
	c := qt.New(t)
	undecodable := []byte{0, 0, 0, 1, 0xff}
	s := newSource()
	conn, received := follow(c, s)
	_, err := conn.conn.Write(undecodable)
	c.Assert(err, qt.IsNil)
	c.Assert(<-s.errors, qt.ErrorMatches, "decode frame: .*")
	<-conn.Done()
	c.Assert(received.errors, qt.HasLen, 0)

	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn, err = FollowConn(context.Background(), near, target("c2"), HostInfo{}, received)
	c.Assert(err, qt.IsNil)
	_, err = far.Write(undecodable)
	c.Assert(err, qt.IsNil)
	c.Assert(<-received.errors, qt.ErrorMatches, "decode frame: .*")
	<-conn.Done()
}

func TestFrames(t *testing.T) {
	c := qt.New(t)
	whole, err := encodeFrame(Hello{From: HostInfo{Name: "e1", Zone: "a"}}, true)
	c.Assert(err, qt.IsNil)
	var hello Hello
	c.Assert(readFrame(bytes.NewReader(whole), &hello), qt.IsNil)
	c.Assert(hello.From.Name, qt.Equals, "e1")
	for n := range whole {
		c.Assert(readFrame(bytes.NewReader(whole[:n]), &hello), qt.IsNotNil, qt.Commentf("%d bytes", n))
	}
	for _, first := range []byte{0x7f, 0xff} { // uncompressed and compressed
		c.Assert(readFrame(bytes.NewReader([]byte{first, 0xff, 0xff, 0xff}), &hello), qt.ErrorMatches, ".*longer than.*")
	}
	c.Assert(readFrame(bytes.NewReader([]byte{0, 0, 0, 1, 0xff}), &hello), qt.ErrorMatches, "decode frame: .*")
}

// Guards against a record that ends the feeds of all followers.
func TestFrameWithAnIDThatIsNoUTF8(t *testing.T) {
	c := qt.New(t)
	for _, compress := range []bool{false, true} {
		records := make([]catalog.Record, 50)
		records[0].ID = "i-\xff"
		frame, err := encodeFrame(Update{Records: records}, compress)
		c.Assert(err, qt.IsNil)
		var u Update
		c.Assert(readFrame(bytes.NewReader(frame), &u), qt.IsNil)
		c.Assert(u.Records[0].ID, qt.Equals, "i-\xff")
	}
}

// oversizedSource provides an update that is longer than a frame.
type oversizedSource struct{ *source }

func (s oversizedSource) Next(_ Hello, after Cursor) (Update, Cursor, bool) {
	return Update{Document: &document.Document{Source: make([]byte, maxFrameBytes)}}, after, true
}

// An update that can't be encoded is reported, and ends the connection.
func TestUpdateThatIsTooLongIsReported(t *testing.T) {
	c := qt.New(t)
	s := newSource()
	s.add()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := Serve(listener, oversizedSource{s})
	c.Cleanup(server.Close)
	conn, err := Follow(context.Background(), target(listener.Addr().String()), HostInfo{}, newSink())
	c.Assert(err, qt.IsNil)
	c.Assert(<-s.errors, qt.ErrorMatches, ".*longer than.*")
	<-conn.Done()
}

// largestState returns a document of as many routes as 4 MiB of JSON hold, with the
// records of 10,000 backend servers whose names are as long as a platform accepts.
func largestState() Update {
	const routes, servers, nameBytes = 50_000, 10_000, 255
	u := Update{Document: &document.Document{Version: 1}}
	for i := range routes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		u.Document.Routes = append(u.Document.Routes, document.Route{
			Address: address, Targets: []document.Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}},
		})
	}
	for i := range servers {
		name := fmt.Sprintf("%0*d", nameBytes, i)
		u.Records = append(u.Records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: name, Service: name, Zone: name}})
	}
	return u
}

// Guards against a state that is too large for the frames that carry it.
func TestLargestStateFitsIntoAFrame(t *testing.T) {
	c := qt.New(t)
	state := largestState()
	frame, err := encodeFrame(state, true)
	c.Assert(err, qt.IsNil)
	var u Update
	c.Assert(readFrame(bytes.NewReader(frame), &u), qt.IsNil)
	c.Assert(u.Records, qt.HasLen, len(state.Records))
	c.Assert(u.Document.Routes, qt.HasLen, len(state.Document.Routes))
}

func TestFrameThatIsTooLongIsNotEncoded(t *testing.T) {
	_, err := encodeFrame(make([]byte, maxFrameBytes), true)
	qt.Assert(t, err, qt.ErrorMatches, ".*longer than.*")
}

func FuzzFrame(f *testing.F) {
	for _, u := range []Update{
		{Current: true, Suspects: []Suspect{{ID: "x"}}},
		{Records: make([]catalog.Record, 50)}, // large enough to be compressed
	} {
		frame, err := encodeFrame(u, true)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var u Update
		_ = readFrame(bytes.NewReader(data), &u) // it must not panic
	})
}
