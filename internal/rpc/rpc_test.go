package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

// echo answers calls.
type echo struct{}

// Say returns what it was given.
func (echo) Say(in string, out *string) error {
	*out = in
	return nil
}

// Refuse returns a typed error.
func (echo) Refuse(string, *string) error {
	return EncodeError(fault.New(fault.Conflict, "look again", "revision 3 is old"))
}

func startEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(l, new(atomic.Int64))
	qt.Assert(t, s.Register("Echo", echo{}), qt.IsNil)
	go s.Serve()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// middle passes connections on. Those that are open when it forgets go silent
// for good; new ones work.
type middle struct {
	l    net.Listener
	to   string
	mu   sync.Mutex
	open []*atomic.Bool
}

func startMiddle(t *testing.T, to string) *middle {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	m := &middle{l: l, to: to}
	go m.serve()
	return m
}

func (m *middle) serve() {
	for {
		in, err := m.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.to)
		if err != nil {
			return
		}
		forgotten := new(atomic.Bool)
		m.mu.Lock()
		m.open = append(m.open, forgotten)
		m.mu.Unlock()
		go pass(out, in, forgotten)
		go pass(in, out, forgotten)
	}
}

func pass(to io.WriteCloser, from io.Reader, forgotten *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !forgotten.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (m *middle) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.open {
		f.Store(true)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	m := startMiddle(t, startEcho(t))
	client := NewClient(new(atomic.Int64), nil)
	defer client.Close()
	addr := m.l.Addr().String()
	var out string
	c.Assert(client.Call(context.Background(), addr, "Echo.Say", "a", &out), qt.IsNil)

	m.forget()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, addr, "Echo.Say", "b", &out)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable)
	c.Assert(client.Call(context.Background(), addr, "Echo.Say", "c", &out), qt.IsNil)
	c.Assert(out, qt.Equals, "c")
}

// An answer that comes after the call timed out must not touch the reply.
func TestLateAnswerIsDropped(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := NewServer(l, new(atomic.Int64))
	slow := &slowEcho{release: make(chan struct{})}
	c.Assert(server.Register("Slow", slow), qt.IsNil)
	c.Assert(server.Register("Echo", echo{}), qt.IsNil)
	go server.Serve()
	defer server.Close()
	client := NewClient(new(atomic.Int64), nil)
	defer client.Close()

	out := "unset"
	c.Assert(client.Call(context.Background(), l.Addr().String(), "Echo.Say", "unset", &out), qt.IsNil) // opens the connection
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(client.Call(ctx, l.Addr().String(), "Slow.Say", "late", &out), qt.IsNotNil)
	close(slow.release)
	var second string
	c.Assert(client.Call(context.Background(), l.Addr().String(), "Slow.Say", "b", &second), qt.IsNil)
	c.Assert(out, qt.Equals, "unset")
}

// slowEcho answers once it is released.
type slowEcho struct{ release chan struct{} }

// Say returns what it was given.
func (s *slowEcho) Say(in string, out *string) error {
	<-s.release
	*out = in
	return nil
}

func TestErrorsKeepKindAndRemedy(t *testing.T) {
	c := qt.New(t)
	client := NewClient(new(atomic.Int64), nil)
	defer client.Close()
	var out string
	err := client.Call(context.Background(), startEcho(t), "Echo.Refuse", "", &out)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	c.Assert(fault.From(err).Remedy, qt.Equals, "look again")
}

func TestUnreachablePeer(t *testing.T) {
	c := qt.New(t)
	client := NewClient(new(atomic.Int64), nil)
	err := client.Call(context.Background(), "127.0.0.1:1", "Echo.Say", "", new(string))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable)
}

func TestCallsToItselfAreNoTraffic(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var bytes atomic.Int64
	server := NewServer(l, &bytes)
	defer server.Close()
	c.Assert(server.Register("Echo", echo{}), qt.IsNil)
	client := NewClient(&bytes, nil)
	defer client.Close()
	client.Connect(l.Addr().String(), server)
	var out string
	c.Assert(client.Call(context.Background(), l.Addr().String(), "Echo.Say", "a", &out), qt.IsNil)
	c.Assert(out, qt.Equals, "a")
	c.Assert(bytes.Load(), qt.Equals, int64(0))
}
