package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Sink receives the updates of followed hosts. It is called from one goroutine
// per followed host.
type Sink interface {
	// ConnectionChanged reports that a followed host connected or disconnected.
	ConnectionChanged(addr string, connected bool)
	// Updated handles an update from the host at addr.
	Updated(addr string, u Update)
}

// Connection is a connection that follows one control host. It ends on Close, on
// an error, or if the host sends nothing for readTimeout. It is not opened again.
type Connection struct {
	Addr   string
	conn   net.Conn
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex // serializes writes
}

// Follow connects to the control host at addr and passes its updates to the sink
// until the connection ends or ctx is done. It dials dialAddr, an address at which
// the host is reached, and gives up after timeout.
func Follow(ctx context.Context, addr, dialAddr string, timeout time.Duration, self HostInfo, sink Sink) (*Connection, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1} // the heartbeats replace TCP keepalives
	conn, err := dialer.DialContext(ctx, "tcp", dialAddr)
	if err != nil {
		return nil, err
	}
	if !send(conn, Hello{From: self}) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &Connection{Addr: addr, conn: conn, cancel: cancel, done: make(chan struct{})}
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
	if !send(c.conn, r) {
		c.cancel()
	}
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
	connected := false
	for {
		var u Update
		_ = c.conn.SetReadDeadline(time.Now().Add(readTimeout))
		if err := readFrame(in, &u); err != nil {
			break
		}
		if !connected {
			connected = true
			sink.ConnectionChanged(c.Addr, true)
		}
		sink.Updated(c.Addr, u)
	}
	if connected {
		sink.ConnectionChanged(c.Addr, false)
	}
}
