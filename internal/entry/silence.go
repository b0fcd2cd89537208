package entry

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a plain connection that something between has lost track
// of is ended.
const (
	probeIdle     = 15 * time.Second // a connection without data is probed after this
	probeInterval = 5 * time.Second  // between two probes
	probeCount    = 3                // probes without an answer that end the connection
	unackedLimit  = 20 * time.Second // data without an acknowledgement ends it after this
)

// watchSilence lets the kernel end the connection when the other end has gone
// silent for good, whether the connection is idle or has data to send.
func watchSilence(conn *net.TCPConn) {
	_ = conn.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount})
	raw, err := conn.SyscallConn()
	if err != nil {
		return // closed already
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
}
