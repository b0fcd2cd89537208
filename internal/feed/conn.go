package feed

import (
	"net"
	"sync/atomic"
	"time"
)

// Intervals and timeouts of a connection.
const (
	heartbeatInterval = 500 * time.Millisecond  // each side sends a heartbeat at this interval, also when it sends other frames
	readTimeout       = 1500 * time.Millisecond // three heartbeat intervals
	writeTimeout      = time.Second             // for each writeChunkBytes
	writeChunkBytes   = 4 << 10
)

// timedConn is a connection whose timeouts limit the time without progress. A
// frame may take longer on a slow link.
type timedConn struct {
	net.Conn
	opened time.Time
	readAt atomic.Int64 // when bytes last arrived, in nanoseconds after opened
}

func newTimedConn(conn net.Conn) *timedConn { return &timedConn{Conn: conn, opened: time.Now()} }

// Read fails if no bytes arrive for readTimeout.
func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAt.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// Write fails if the peer does not take writeChunkBytes within writeTimeout.
func (c *timedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// silentFor returns how long no bytes have arrived.
func (c *timedConn) silentFor() time.Duration {
	return time.Since(c.opened) - time.Duration(c.readAt.Load())
}

// send writes one frame. It reports whether that succeeded.
func send(conn net.Conn, v any, compress bool) bool {
	frame, err := encodeFrame(v, compress)
	if err != nil {
		return false
	}
	_, err = conn.Write(frame)
	return err == nil
}
