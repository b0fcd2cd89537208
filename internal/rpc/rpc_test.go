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

// echo is a service that answers at once.
type echo struct{}

// Say returns its argument.
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

// proxy forwards connections to an address. After silenceOpen it drops all data on
// the connections that are open, while new ones work.
type proxy struct {
	l    net.Listener
	to   string
	mu   sync.Mutex
	open []*atomic.Bool // per connection, whether its data is dropped
}

func startProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{l: l, to: to}
	go p.serve()
	return p
}

func (p *proxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			return
		}
		silenced := new(atomic.Bool)
		p.mu.Lock()
		p.open = append(p.open, silenced)
		p.mu.Unlock()
		go forward(out, in, silenced)
		go forward(in, out, silenced)
	}
}

func forward(to io.WriteCloser, from io.Reader, silenced *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if !silenced.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, silenced := range p.open {
		silenced.Store(true)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	p := startProxy(t, startEcho(t))
	client := NewClient(new(atomic.Int64), nil)
	defer client.Close()
	addr := p.l.Addr().String()
	var out string
	c.Assert(client.Call(context.Background(), addr, "Echo.Say", "a", &out), qt.IsNil)

	p.silenceOpen()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, addr, "Echo.Say", "b", &out)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable)
	c.Assert(client.Call(context.Background(), addr, "Echo.Say", "c", &out), qt.IsNil)
	c.Assert(out, qt.Equals, "c")
}

// A reply that arrives after its call was canceled must not be stored in the
// variable of the caller.
func TestLateReplyIsDropped(t *testing.T) {
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

// slowEcho is a service that answers after release is closed.
type slowEcho struct{ release chan struct{} }

// Say returns its argument after release is closed.
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

func TestCallsToOwnAddressAreNotCounted(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var bytes atomic.Int64
	server := NewServer(l, &bytes)
	defer server.Close()
	c.Assert(server.Register("Echo", echo{}), qt.IsNil)
	client := NewClient(&bytes, nil)
	defer client.Close()
	client.ConnectLocal(l.Addr().String(), server)
	var out string
	c.Assert(client.Call(context.Background(), l.Addr().String(), "Echo.Say", "a", &out), qt.IsNil)
	c.Assert(out, qt.Equals, "a")
	c.Assert(bytes.Load(), qt.Equals, int64(0))
}
