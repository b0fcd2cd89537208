package fleet_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// Guards against a cold backend server that gets the bound from each entry host, and
// against callers that are left without an answer meanwhile.
func TestColdBackendServerKeepsItsBound(t *testing.T) {
	const (
		bound, hosts, flowsPerHost = 5, 4, 10
		interval                   = time.Second
	)
	c := qt.New(t)
	s := newSystem(t)
	s.adjust = func(cfg *fleet.Config) {
		cfg.Contracts, cfg.ColdOverage, cfg.ColdSlack = []string{"places"}, 1.5, bound
	}
	s.startControls()
	for host := 4; host < 4+hosts; host++ {
		s.startEntry(host)
	}
	s.put(1, 7)
	// Callers receive resets at the port at which entry hosts receive packets.
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(callerAddr, uint16(s.base))))
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	b := s.backend("i-a1")
	cold := standin.Heartbeat{
		Service: "orders", Address: standin.LocalAddr(b.conn), Zone: "z1", Slots: 2, State: "ready",
		WarmMs: 60_000, Sequence: 1, Born: 1_700_000_000_000, // cold until the test ends
	}
	status, _ := s.call(2, "POST", standin.HeartbeatPath(b.id), string(standin.Encode(cold)))
	c.Assert(status, qt.Equals, http.StatusOK)
	for host := 4; host < 4+hosts; host++ {
		s.waitReady(host)
	}
	received, refused := make(chan bool, 1), make(chan bool, 1)
	go countDatagrams(b.conn, received)
	go countDatagrams(caller, refused)

	began, forwarded := time.Now(), 0
	for port := uint16(1000); port < 1000+hosts*flowsPerHost || forwarded == 0; port++ { // the hosts may not be named yet
		s.sendTo(4+int(port)%hosts, packet(port, 0))
		select {
		case <-received:
			forwarded++
		case <-refused:
		}
	}
	seconds := 1 + int(time.Since(began)/interval)
	c.Assert(forwarded <= bound*seconds, qt.IsTrue, qt.Commentf("%d flows in %d s", forwarded, seconds))
}

// countDatagrams sends to arrived for each datagram, until the connection is closed.
func countDatagrams(conn *net.UDPConn, arrived chan<- bool) {
	for {
		if _, err := conn.Read(make([]byte, 2048)); err != nil {
			return
		}
		arrived <- true
	}
}
