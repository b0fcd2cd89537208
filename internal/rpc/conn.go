package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout is the time limit of a write. It ends a connection whose peer
// accepts no data, so that calls do not queue up on it.
const writeTimeout = 5 * time.Second

// countingConn adds the bytes sent and received to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
	read  atomic.Int64 // bytes read from this connection
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	c.read.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
