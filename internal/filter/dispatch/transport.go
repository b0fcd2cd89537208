package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of connections to backend servers.
const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 64
)

// NewTransport returns the HTTP transport to backend servers. Its connections
// count their writes.
func NewTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// countingConn counts the writes that were started.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts the write before it starts, so that a write that may have sent
// bytes is always counted.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// sentBytes detects whether any byte of a request was sent. It is safe for
// concurrent use.
type sentBytes struct {
	mu           sync.Mutex
	conns        []*countingConn
	writesBefore []int64
	uncounted    bool // the request used a connection that does not count its writes
}

// trace returns a context that makes http.Transport report the connections of a
// request to s.
func (s *sentBytes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		s.mu.Lock()
		defer s.mu.Unlock()
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			s.uncounted = true
			return
		}
		s.conns = append(s.conns, conn)
		s.writesBefore = append(s.writesBefore, conn.writes.Load())
	}})
}

// noneSent reports whether it is certain that no byte was sent and none will be. It
// closes the connections before it reads their counts, so that no write can
// follow.
func (s *sentBytes) noneSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uncounted {
		return false
	}
	for i, conn := range s.conns {
		_ = conn.Close()
		if conn.writes.Load() != s.writesBefore[i] {
			return false
		}
	}
	return true
}
