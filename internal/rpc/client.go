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

// dialTimeout is the time limit for opening a connection to a peer.
const dialTimeout = time.Second

// Client calls peers by their address. It is safe for concurrent use.
type Client struct {
	bytes *atomic.Int64
	tls   func(host string) *tls.Config
	via   map[string]string // addresses to dial, by the peer's own address; see SetDialAddresses
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one peer.
type peer struct {
	*rpc.Client
	conn *countingConn
}

// NewClient returns a client that adds the bytes it sends and receives to bytes.
// tlsFor returns the TLS settings of a connection to a host. If tlsFor is nil,
// connections do not use TLS.
func NewClient(bytes *atomic.Int64, tlsFor func(host string) *tls.Config) *Client {
	return &Client{bytes: bytes, tls: tlsFor, peers: map[string]*peer{}}
}

// SetDialAddresses sets the addresses to dial, by the peer's own address. A peer that
// via does not list is dialed at its own address. SetDialAddresses must be called
// before Call.
func (c *Client) SetDialAddresses(via map[string]string) { c.via = via }

// Call calls a method of the peer at addr. It writes to reply only before it
// returns: the answer, or possibly a zero value if the call fails. A call that
// cannot be delivered fails with kind Unavailable. So does a call whose connection
// breaks or whose ctx ends before the answer arrives; the peer may still have
// executed it.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	p, err := c.peer(ctx, addr)
	if err != nil {
		return unavailable(addr, method, err)
	}
	readBefore := p.conn.read.Load()
	// An answer that arrives after ctx has ended is still decoded, so it must
	// not be decoded into the caller's reply.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := p.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return c.result(addr, method, p, call.Error)
	case <-ctx.Done():
		c.suspect(ctx, addr, p, readBefore)
		return unavailable(addr, method, ctx.Err())
	}
}

// suspect drops a connection on which no byte was read during a call that timed
// out. A device on the network path may have lost the connection's state, in which
// case a new connection works. A connection is kept if the caller canceled the
// call.
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
	if p := c.cachedPeer(addr); p != nil {
		return p, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: conn, bytes: c.bytes}
	newPeer := &peer{Client: rpc.NewClient(counted), conn: counted}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[addr]; p != nil {
		_ = newPeer.Close()
		return p, nil
	}
	c.peers[addr] = newPeer
	return newPeer, nil
}

// ConnectLocal makes calls to addr reach the server s in this process without the
// network. Their bytes are not counted. If the connection is dropped, later calls
// use the network.
func (c *Client) ConnectLocal(addr string, s *Server) {
	clientEnd, serverEnd := net.Pipe()
	uncounted := &countingConn{Conn: clientEnd, bytes: new(atomic.Int64)}
	go s.rpc.ServeConn(serverEnd)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[addr] = &peer{Client: rpc.NewClient(uncounted), conn: uncounted}
}

func (c *Client) cachedPeer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[addr]
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	if dialAddr, ok := c.via[addr]; ok {
		addr = dialAddr
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
