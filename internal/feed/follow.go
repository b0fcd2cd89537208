package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Sink takes what a followed host tells. It is called from one goroutine per
// followed host.
type Sink interface {
	// Connected notes that a host is followed, or not any more.
	Connected(addr string, connected bool)
	// Updated takes an update of the host at addr.
	Updated(addr string, u Update)
}

// Link is a connection that follows one control host. It ends when the host
// falls silent, and is not opened again.
type Link struct {
	Addr   string
	conn   net.Conn
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex // orders writes
}

// Follow connects to the control host at addr through an address that leads to
// it, and hands its updates to the sink until the
// link ends or ctx is done. It gives up the connection attempt after limit.
func Follow(ctx context.Context, addr, through string, limit time.Duration, self Presence, sink Sink) (*Link, error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1} // the beats keep it alive
	conn, err := dialer.DialContext(ctx, "tcp", through)
	if err != nil {
		return nil, err
	}
	if !send(conn, Hello{From: self}) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{Addr: addr, conn: conn, cancel: cancel, done: make(chan struct{})}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	go l.beat(ctx)
	go l.read(sink)
	return l, nil
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() { l.cancel() }

// Report tells the host what this follower has seen. A failed report ends the
// link.
func (l *Link) Report(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !send(l.conn, r) {
		l.cancel()
	}
}

func (l *Link) beat(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Report(Report{})
		}
	}
}

func (l *Link) read(sink Sink) {
	defer close(l.done)
	defer l.cancel()
	in := bufio.NewReader(l.conn)
	connected := false
	for {
		var u Update
		_ = l.conn.SetReadDeadline(time.Now().Add(silenceLimit))
		if err := readFrame(in, &u); err != nil {
			break
		}
		if !connected {
			connected = true
			sink.Connected(l.Addr, true)
		}
		sink.Updated(l.Addr, u)
	}
	if connected {
		sink.Connected(l.Addr, false)
	}
}
