package fleet_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// Guards against requests that are lost on idle flows of a backend server that another
// one has replaced at its address, and against more than one reset and resets of other
// flows: the next reset that arrives is that of the next server.
func TestFlowsOfReplacedServersAreReset(t *testing.T) {
	c := qt.New(t)
	s := newSystem(t)
	s.startControls()
	cfg := s.config(4, fleet.Entry, true)
	cfg.Contracts = []string{"health"}
	s.startEntryWith(cfg)
	s.put(1, 7)
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(callerAddr, uint16(s.base))))
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	first, second := s.backend("i-a1"), s.backend("i-b2")
	s.announce(1, first, "ready")
	s.announce(1, second, "ready")
	s.waitReady(4)
	firstPort, secondPort := s.openFlow(first, 1000, 111), s.openFlow(second, 2000, 222)

	expectReset := func(port uint16, ack uint32) { // as the next packet of the caller
		buf := make([]byte, 2048)
		n, err := caller.Read(buf)
		c.Assert(err, qt.IsNil)
		want := standin.Packet{From: routeAddr, To: netip.AddrPortFrom(callerAddr, port), Sequence: ack, Flags: standin.RST}
		c.Assert(buf[:n], qt.DeepEquals, want.Encode())
	}
	third := s.replace(first, "i-c3")
	expectReset(firstPort, 111)
	s.openFlow(third, 3000, 333)
	s.replace(second, "i-d4")
	expectReset(secondPort, 222)
}

// openFlow opens flows through entry host 4 until one goes to a backend server, and
// acknowledges up to ack on that one. It returns the port of the caller.
func (s *system) openFlow(b *backend, port uint16, ack uint32) uint16 {
	buf := make([]byte, 2048)
	target, err := strconv.ParseUint(strings.TrimPrefix(b.id, "i-"), 16, 64)
	qt.Assert(s.t, err, qt.IsNil)
	next := func() []byte { // nil if none arrives, or one for the backend server that had the address before
		_ = b.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := b.conn.Read(buf)
		if err != nil || binary.BigEndian.Uint64(buf) != target {
			return nil
		}
		return buf[standin.TargetBytes:n]
	}
	var opening []byte
	eventually(func() bool {
		port++
		s.sendTo(4, packet(port, 0))
		opening = next()
		return opening != nil
	})
	p, err := standin.Decode(opening)
	qt.Assert(s.t, err, qt.IsNil)
	p.Flags, p.Ack = standin.ACK, ack
	sent := p.Encode()
	s.sendTo(4, sent)
	eventually(func() bool { return bytes.Equal(next(), sent) })
	return p.From.Port()
}

// replace announces another backend server at the address of one, and returns it.
func (s *system) replace(b *backend, id string) *backend {
	later := strings.Replace(string(s.heartbeat(b, "ready")), "1700000000000", "1800000000000", 1)
	status, _ := s.call(1, "POST", standin.HeartbeatPath(id), later)
	qt.Assert(s.t, status, qt.Equals, http.StatusOK)
	return &backend{id: id, conn: b.conn}
}
