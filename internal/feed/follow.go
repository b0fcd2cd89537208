package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// syncStallTimeout is how long a requested state may make no progress before the
// follower should ask another server.
const syncStallTimeout = 300 * time.Millisecond

// Sink receives the updates of followed hosts. It is called from one goroutine
// per followed host.
type Sink interface {
	// ConnectionChanged reports that a followed host began to send its state, or
	// disconnected after that.
	ConnectionChanged(addr string, connected bool)
	// Updated handles an update from the host at addr.
	Updated(addr string, u Update)
	// FrameFailed handles a frame from the host at addr that could not be decoded.
	// The connection ends after it.
	FrameFailed(addr string, err error)
}

// Target is a control host to follow.
type Target struct {
	Addr     string        // address by which hosts know it
	DialAddr string        // address at which it is reached
	Timeout  time.Duration // of the attempt to connect
	// Defer reports whether the host should send its state only after
	// Connection.Sync. It is called once the host is reached. If it is nil, the
	// state is not deferred.
	Defer func() bool
}

// Connection is a connection that follows one control host. It ends on Close, on
// an error, or if the host sends nothing for readTimeout. It is not opened again.
type Connection struct {
	addr      string
	deferred  bool
	conn      *timedConn
	cancel    context.CancelFunc
	done      chan struct{}
	requested atomic.Bool  // whether the state was requested
	syncAt    atomic.Int64 // when it was requested, in nanoseconds after conn.opened
	synced    atomic.Bool  // whether it has arrived
	mu        sync.Mutex   // serializes writes
}

// Follow connects to a control host and passes its updates to the sink until the
// connection ends or ctx is done.
func Follow(ctx context.Context, to Target, self HostInfo, sink Sink) (*Connection, error) {
	dialer := net.Dialer{Timeout: to.Timeout, KeepAlive: -1} // the heartbeats replace TCP keepalives
	conn, err := dialer.DialContext(ctx, "tcp", to.DialAddr)
	if err != nil {
		return nil, err
	}
	return FollowConn(ctx, conn, to, self, sink)
}

// FollowConn is Follow on a connection that is already open.
func FollowConn(ctx context.Context, conn net.Conn, to Target, self HostInfo, sink Sink) (*Connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	deferred := to.Defer != nil && to.Defer()
	c := &Connection{addr: to.Addr, deferred: deferred, conn: newTimedConn(conn), cancel: cancel, done: make(chan struct{})}
	c.requested.Store(!deferred)
	if !send(c.conn, Hello{From: self, Compressed: !self.Control, Deltas: true, Deferred: deferred}, false) {
		cancel()
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go c.sendHeartbeats(ctx)
	go c.readUpdates(sink)
	return c, nil
}

// Done returns a channel that is closed when the connection has ended.
func (c *Connection) Done() <-chan struct{} { return c.done }

// Close ends the connection.
func (c *Connection) Close() { c.cancel() }

// Report sends a report to the followed host. A failed report ends the
// connection.
func (c *Connection) Report(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !send(c.conn, r, false) {
		c.cancel()
	}
}

// Sync asks for the deferred state, without waiting for it. Only the first call
// has an effect.
func (c *Connection) Sync() {
	if c.requested.Load() {
		return
	}
	c.syncAt.Store(int64(time.Since(c.conn.opened)))
	c.requested.Store(true)
	go c.Report(Report{Sync: true})
}

// SyncState is the progress of the transfer of a host's state.
type SyncState uint8

// The states of the transfer.
const (
	NotRequested SyncState = iota // the state is deferred
	Syncing
	Stalled // the transfer has made no progress for syncStallTimeout
	Synced
)

// SyncState returns the progress of the transfer of the host's state.
func (c *Connection) SyncState() SyncState {
	switch {
	case c.synced.Load():
		return Synced
	case !c.requested.Load():
		return NotRequested
	case min(c.conn.silentFor(), time.Since(c.conn.opened)-time.Duration(c.syncAt.Load())) > syncStallTimeout:
		return Stalled
	}
	return Syncing
}

func (c *Connection) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.Report(Report{})
		}
	}
}

// readUpdates passes updates to the sink until the connection ends.
func (c *Connection) readUpdates(sink Sink) {
	defer close(c.done)
	defer c.cancel()
	in := bufio.NewReader(c.conn)
	for {
		var u Update
		if err := readFrame(in, &u); err != nil {
			if isUndecodable(err) {
				sink.FrameFailed(c.addr, err)
			}
			break
		}
		if !c.synced.Load() && (!c.deferred || u.hasState()) {
			c.synced.Store(true)
			sink.ConnectionChanged(c.addr, true)
		}
		sink.Updated(c.addr, u)
	}
	if c.synced.Load() {
		sink.ConnectionChanged(c.addr, false)
	}
}
