package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// Client calls peers by their address. It is safe for concurrent use.
type Client struct {
	bytes *atomic.Int64
	tls   func(host string) *tls.Config
	via   map[string]string
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one peer.
type peer struct {
	*rpc.Client
	conn *countingConn
}

// NewClient returns a client that adds the bytes it moves to bytes. tlsFor
// returns the TLS settings of a connection to a host; nil is plain.
func NewClient(bytes *atomic.Int64, tlsFor func(host string) *tls.Config) *Client {
	return &Client{bytes: bytes, tls: tlsFor, peers: map[string]*peer{}}
}

// ReachThrough sets the addresses through which peers are reached, by their own
// address. A peer that is not in it is reached at its own. It is called before
// the first call.
func (c *Client) ReachThrough(via map[string]string) { c.via = via }

// Call calls a method of the peer at addr. reply points to the answer, which is
// set before Call returns or not at all. A call that cannot be delivered
// fails with kind Unavailable, as does one that outlives ctx: it may have run.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	p, err := c.peer(ctx, addr)
	if err != nil {
		return unavailable(addr, method, err)
	}
	readBefore := p.conn.read.Load()
	// A late answer is decoded even if nobody waits for it any more, so it
	// must not go into the caller's reply.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := p.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		reflect.ValueOf(reply).Elem().Set(own.Elem())
		return c.result(addr, method, p, call.Error)
	case <-ctx.Done():
		c.suspect(ctx, addr, p, readBefore)
		return unavailable(addr, method, ctx.Err())
	}
}

// suspect drops a connection on which nothing was read during a whole call
// that timed out. Something between may have lost track of it, while a new
// connection works. A call that its caller gave up says nothing.
func (c *Client) suspect(ctx context.Context, addr string, p *peer, readBefore int64) {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if timedOut && p.conn.read.Load() == readBefore {
		c.drop(addr, p)
	}
}

func (c *Client) result(addr, method string, p *peer, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return decodeError(string(remote))
	}
	c.drop(addr, p)
	return unavailable(addr, method, err)
}

func (c *Client) peer(ctx context.Context, addr string) (*peer, error) {
	if p := c.known(addr); p != nil {
		return p, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: conn, bytes: c.bytes}
	fresh := &peer{Client: rpc.NewClient(counted), conn: counted}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[addr]; p != nil {
		_ = fresh.Close()
		return p, nil
	}
	c.peers[addr] = fresh
	return fresh, nil
}

// Connect lets calls to addr reach the server in this process without the
// network. They do not count as traffic.
func (c *Client) Connect(addr string, s *Server) {
	near, far := net.Pipe()
	own := &countingConn{Conn: near, bytes: new(atomic.Int64)}
	go s.rpc.ServeConn(far)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = &peer{Client: rpc.NewClient(own), conn: own}
}

func (c *Client) known(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[addr]
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if through, ok := c.via[addr]; ok {
		addr = through
	}
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

func (c *Client) drop(addr string, p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[addr] == p {
		delete(c.peers, addr)
	}
	_ = p.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.peers {
		_ = p.Close()
		delete(c.peers, addr)
	}
}
