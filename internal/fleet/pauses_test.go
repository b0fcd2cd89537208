package fleet

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
)

// Guards against packets that waited at a paused host and are handled like fresh ones.
func TestPauses(t *testing.T) {
	c := qt.New(t)
	var p pauses
	now := maxAliveGap
	c.Assert(p.recordAlive(now), qt.IsFalse)
	for range 3 {
		now += flowTick
		c.Assert(p.recordAlive(now), qt.IsFalse)
		c.Assert(p.mayHaveWaited(now), qt.IsFalse)
	}
	now += maxAliveGap + time.Millisecond
	c.Assert(p.recordAlive(now), qt.IsTrue)
	c.Assert(p.recordAlive(now), qt.IsFalse)
	c.Assert(p.mayHaveWaited(now+backlogTime-1), qt.IsTrue)
	c.Assert(p.mayHaveWaited(now+backlogTime), qt.IsFalse)
}

// Guards against a host that takes packets for fresh that waited before it read the first.
func TestSlowStartIsAPause(t *testing.T) {
	var p pauses
	qt.Assert(t, p.recordAlive(maxAliveGap+time.Millisecond), qt.IsTrue)
}

// openingFormat takes each datagram for an opening packet to a route that no document has.
type openingFormat struct {
	PacketFormat
	caller netip.AddrPort
}

func (f openingFormat) Parse([]byte) (steering.Packet, error) {
	return steering.Packet{Caller: f.caller, Route: netip.MustParseAddrPort("198.18.0.9:443"), Opening: true}, nil
}

func (openingFormat) AppendReset(buf, datagram []byte) []byte { return append(buf, datagram...) }

// Guards against a reset that answers a packet which waited while this host did not run.
func TestPacketReadAfterAPauseIsNotReset(t *testing.T) {
	c := qt.New(t)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	port := uint16(conn.LocalAddr().(*net.UDPAddr).Port)
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port)))
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	log, m := eventlog.New(io.Discard, "e", time.Now), metrics.New()
	defer log.Close(time.Minute)
	h := &EntryHost{
		conn: conn, log: log, metrics: m, counts: newPacketCounts(m), started: time.Now(),
		format: openingFormat{caller: netip.MustParseAddrPort("127.0.0.2:1000")}, steerer: steering.New(steering.Config{}),
	}
	h.sender = newSender(conn, 0, log, m, h.now)
	server := catalog.Record{Heartbeat: catalog.Heartbeat{ID: "x", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}}
	h.steerer.SetTable(0, steering.Build(&document.Document{Version: 1}, []catalog.Record{server}))

	h.pauses.aliveAt = h.now() - time.Hour
	h.handleDatagram(append(make([]byte, TargetBytes), "delayed"...))
	c.Assert(m.Counter("entry.pauses").Count(), qt.Equals, int64(1))
	h.pauses = pauses{aliveAt: h.now()}
	h.handleDatagram(append(make([]byte, TargetBytes), "fresh"...))
	buf := make([]byte, 16)
	n, err := caller.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buf[:n]), qt.Equals, "fresh")
}
