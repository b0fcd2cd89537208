package fleet_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/fleet"
	"greengagequay/platform/standin"
)

// Guards against a cold backend server that gets the bound from each entry host, and
// against callers that are left without an answer meanwhile.
func TestColdBackendServerKeepsItsBound(t *testing.T) {
	const bound, hosts, flowsPerHost = 5, 4, 10
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
	b := s.backend("i-a1")
	cold := catalog.Heartbeat{ID: b.id, Service: "orders", Address: standin.LocalAddr(b.conn), Zone: "z1", WarmLeft: time.Hour, Born: 1, Sequence: 1}
	eventually(func() bool { return s.controls[2].Announce(cold) == nil })
	for host := 4; host < 4+hosts; host++ {
		s.waitReady(host)
	}
	// Callers receive resets at the port at which entry hosts receive packets.
	caller, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(callerAddr, uint16(s.base))))
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	arrivals := make(chan bool, 1) // of openings at the backend server and resets at the caller
	for conn, isOpening := range map[*net.UDPConn]bool{b.conn: true, caller: false} {
		go func() {
			for buf := make([]byte, 2048); ; arrivals <- isOpening {
				if _, err := conn.Read(buf); err != nil {
					return
				}
			}
		}()
	}
	began, opened := time.Now(), 0
	for port := uint16(1000); port < 1000+hosts*flowsPerHost || opened == 0; port++ { // until an admission has arrived
		s.sendTo(4+int(port)%hosts, packet(port, 0))
		if <-arrivals {
			opened++
		}
	}
	seconds := 1 + int(time.Since(began)/time.Second)
	c.Assert(opened <= bound*seconds, qt.IsTrue, qt.Commentf("%d flows in %d s", opened, seconds))
}
