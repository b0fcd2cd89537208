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
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	idlePerServer = 64
)

// NewTransport returns the HTTP transport to backend servers. Its connections
// count what is sent.
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
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// countingConn counts the writes that were begun.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts first, so that a write that may send bytes is always counted.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// sentBytes tells whether any byte of a request was sent.
type sentBytes struct {
	mu     sync.Mutex
	conns  []*countingConn
	before []int64
	other  bool // a connection that does not count
}

// trace returns a context that notes the connections of a request.
func (s *sentBytes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		s.mu.Lock()
		defer s.mu.Unlock()
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			s.other = true
			return
		}
		s.conns = append(s.conns, conn)
		s.before = append(s.before, conn.writes.Load())
	}})
}

// none reports whether certainly no byte was sent or will be. It closes the
// connections first, so that no write can follow.
func (s *sentBytes) none() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.other {
		return false
	}
	for i, conn := range s.conns {
		_ = conn.Close()
		if conn.writes.Load() != s.before[i] {
			return false
		}
	}
	return true
}
