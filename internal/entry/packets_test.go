package entry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/flow"
	"greengagequay/internal/metrics"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

func udpSocket(c *qt.C) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(c *qt.C, conn *net.UDPConn) flow.Packet {
	buf := make([]byte, maxPacket)
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	n, err := conn.Read(buf)
	c.Assert(err, qt.IsNil)
	var p flow.Packet
	c.Assert(flow.Parse(buf[:n], &p), qt.IsNil)
	return p
}

// loopback runs three entry hosts on real sockets: a host that relays, and the
// home and the backup of a moving bucket.
type loopback struct {
	table   *table.Table
	fabric  []netip.AddrPort
	metrics []*metrics.Registry
	routers []*route.Router
}

func newLoopback(c *qt.C, backend netip.AddrPort) *loopback {
	svc := &table.Service{Name: "pantanir", Buckets: []table.Bucket{{
		Candidates: [4]table.BackendNum{1, 2}, Phase: table.Move, Target: 1, Home: 2, Backups: [2]table.HostNum{3},
	}}}
	l := &loopback{table: &table.Table{
		ByName:    map[string]*table.Service{"pantanir": svc},
		ByAddress: map[table.Endpoint]*table.Service{{Addr: netip.MustParseAddr("203.0.113.10"), Port: 443, Proto: 6}: svc},
		Backends:  map[table.BackendNum]table.Backend{2: {Num: 2, Service: "pantanir", State: "ready", Packet: backend}},
		Hosts:     map[table.HostNum]table.Host{},
	}}
	names := []string{"relays", "home", "backup"}
	relays := make([]*net.UDPConn, len(names))
	for i, name := range names {
		num := table.HostNum(i + 1)
		conn, addr := udpSocket(c)
		relays[i] = conn
		l.table.Hosts[num] = table.Host{Num: num, Name: name, Relay: addr}
	}
	for i, name := range names {
		conn, addr := udpSocket(c)
		l.fabric = append(l.fabric, addr)
		r, m := route.NewRouter(10), metrics.New()
		view := route.NewView(l.table, name, r)
		f := NewForwarder(Options{
			Fabric: NewUDPFabric(conn), Relay: NewUDPFabric(relays[i]), Router: r, Metrics: m, Now: time.Now,
			View: func() *route.View { return view }, StallTimeout: func(string) time.Duration { return time.Hour },
		})
		l.routers, l.metrics = append(l.routers, r), append(l.metrics, m)
		go f.Serve()
		go f.ServeRelay()
	}
	return l
}

// TestRelayAndReset checks that an opening packet passes through the home and the
// backup, which record the flow before the backend server receives the packet,
// and that a flow whose backend server is gone is reset at the source of its
// packets even if they were relayed.
func TestRelayAndReset(t *testing.T) {
	c := qt.New(t)
	backend, backendAddr := udpSocket(c)
	l := newLoopback(c, backendAddr)
	client, _ := udpSocket(c)
	p := flow.Packet{
		Src: netip.MustParseAddr("198.51.100.7"), Dst: netip.MustParseAddr("203.0.113.10"),
		SrcPort: 40000, DstPort: 443, Proto: 6, SYN: true, Seq: 77,
	}
	send := func() {
		data, err := flow.Build(p, nil)
		c.Assert(err, qt.IsNil)
		_, err = client.WriteToUDPAddrPort(data, l.fabric[0])
		c.Assert(err, qt.IsNil)
	}
	send()
	c.Check(receive(c, backend).Seq, qt.Equals, uint32(77))
	c.Check(l.routers[1].Records.Len(), qt.Equals, 1)
	c.Check(l.routers[2].Records.Len(), qt.Equals, 1)
	c.Check(l.metrics[0].Counter("packets.relayed").Count(), qt.Equals, int64(1))

	p.SYN, p.ACK, p.Src, p.Ack = false, true, netip.MustParseAddr("198.51.100.8"), 99
	send() // a flow without a record belongs to backend server 1, which is gone
	answer := receive(c, client)
	c.Check(answer.RST, qt.IsTrue)
	c.Check(answer.Seq, qt.Equals, uint32(99))
	c.Check(l.metrics[1].Counter("packets.reset.lost_backend").Count(), qt.Equals, int64(1))
}
