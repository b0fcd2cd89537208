// Package rpc carries calls between the processes of the system over net/rpc.
// It keeps one connection per peer, bounds each call in time and counts bytes.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/fault"
)

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// Server serves calls from peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	bytes    *atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server on the listener. Bytes sent and received are
// added to bytes.
func NewServer(l net.Listener, bytes *atomic.Int64) *Server {
	return &Server{rpc: rpc.NewServer(), listener: l, bytes: bytes, conns: map[net.Conn]struct{}{}}
}

// Register makes the exported methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		counted := &countingConn{Conn: conn, bytes: s.bytes}
		if !s.track(counted) {
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeConn(counted)
			s.untrack(counted)
		}()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Client calls peers by their address. It is safe for concurrent use.
type Client struct {
	bytes *atomic.Int64
	tls   func(host string) *tls.Config
	mu    sync.Mutex
	peers map[string]*rpc.Client
}

// NewClient returns a client that adds the bytes it moves to bytes. tlsFor
// returns the TLS settings of a connection to a host; nil is plain.
func NewClient(bytes *atomic.Int64, tlsFor func(host string) *tls.Config) *Client {
	return &Client{bytes: bytes, tls: tlsFor, peers: map[string]*rpc.Client{}}
}

// Call calls a method of the peer at addr. A call that cannot be delivered
// fails with kind Unavailable, as does one that outlives ctx: it may have run.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	peer, err := c.peer(ctx, addr)
	if err != nil {
		return unavailable(addr, method, err)
	}
	call := peer.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.result(addr, method, peer, call.Error)
	case <-ctx.Done():
		return unavailable(addr, method, ctx.Err())
	}
}

func (c *Client) result(addr, method string, peer *rpc.Client, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return decodeError(string(remote))
	}
	c.drop(addr, peer)
	return unavailable(addr, method, err)
}

func (c *Client) peer(ctx context.Context, addr string) (*rpc.Client, error) {
	c.mu.Lock()
	peer := c.peers[addr]
	c.mu.Unlock()
	if peer != nil {
		return peer, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClient(&countingConn{Conn: conn, bytes: c.bytes})
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer := c.peers[addr]; peer != nil {
		_ = fresh.Close()
		return peer, nil
	}
	c.peers[addr] = fresh
	return fresh, nil
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.tls == nil {
		return dialer.DialContext(ctx, "tcp", addr)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	secure := tls.Dialer{NetDialer: &dialer, Config: c.tls(host)}
	return secure.DialContext(ctx, "tcp", addr)
}

func (c *Client) drop(addr string, peer *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[addr] == peer {
		delete(c.peers, addr)
	}
	_ = peer.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, peer := range c.peers {
		_ = peer.Close()
		delete(c.peers, addr)
	}
}

func unavailable(addr, method string, err error) error {
	return fault.New(fault.Unavailable, "check the host and the network between", "call %s at %s: %w", method, addr, err)
}

const separator = "\x1f"

// EncodeError returns an error whose text carries kind and remedy through
// net/rpc. Methods that are called by peers return it.
func EncodeError(err error) error {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return errors.New(strings.Join([]string{string(e.Kind), e.Message, e.Remedy}, separator))
}

func decodeError(text string) error {
	parts := strings.Split(text, separator)
	if len(parts) != 3 {
		return fault.New(fault.Internal, "see the log of the called host", "%s", text)
	}
	return &fault.Error{Kind: fault.Kind(parts[0]), Message: parts[1], Remedy: parts[2]}
}

// countingConn adds the bytes it moves to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
