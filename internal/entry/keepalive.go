package entry

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Limits after which a plain TCP connection is closed because its peer does not
// answer, for example after a device on the path has lost its state.
const (
	keepAliveIdle     = 15 * time.Second // idle time before the first probe
	keepAliveInterval = 5 * time.Second  // time between two probes
	keepAliveCount    = 3                // unanswered probes after which the connection is closed
	// unackedTimeout is the age of unacknowledged data at which the connection is
	// closed. On Linux it also replaces keepAliveCount.
	unackedTimeout = 20 * time.Second
)

// enableDeadPeerDetection makes the kernel close the connection if its peer stops
// answering, whether the connection is idle or has data to send.
func enableDeadPeerDetection(conn *net.TCPConn) {
	_ = conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	raw, err := conn.SyscallConn()
	if err != nil {
		return // the connection is already closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
