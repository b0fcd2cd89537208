package standin

import (
	"net"
	"net/netip"
	"sync"

	"greengagequay/internal/flow"
)

// flowKey identifies a flow by the address of its caller and its protocol.
type flowKey struct {
	addr netip.AddrPort
	udp  bool
}

// PacketCounts holds the counts of packets and flows that a stand-in received.
type PacketCounts struct {
	Open         int // flows that are open
	Opened       int // flows that were opened; a repeated opening packet does not count
	Packets      int
	Misdelivered int // packets to the address of another service
	Unknown      int // packets of flows that are not open here
}

// PacketServer receives encapsulated packets and answers the callers directly: a
// SYN with a SYN and ACK, data with an ACK, and a packet of an unknown flow with a
// reset.
type PacketServer struct {
	conn       *net.UDPConn
	address    netip.AddrPort // address of the service
	returnAddr netip.AddrPort // receives the answers
	mu         sync.Mutex
	flows      map[flowKey]struct{} // open flows
	counts     PacketCounts
}

func newPacketServer(conn *net.UDPConn, address, returnAddr netip.AddrPort) *PacketServer {
	return &PacketServer{conn: conn, address: address, returnAddr: returnAddr, flows: map[flowKey]struct{}{}}
}

func (s *PacketServer) serve() {
	buf := make([]byte, 65535)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p flow.Packet
		if flow.Parse(buf[:n], &p) != nil {
			continue
		}
		if answer := s.handle(&p); answer != nil {
			_, _ = s.conn.WriteToUDPAddrPort(answer, s.returnAddr)
		}
	}
}

func (s *PacketServer) handle(p *flow.Packet) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Packets++
	if netip.AddrPortFrom(p.Dst, p.DstPort) != s.address {
		s.counts.Misdelivered++
	}
	key := flowKey{addr: netip.AddrPortFrom(p.Src, p.SrcPort), udp: p.Proto != 6}
	_, known := s.flows[key]
	switch {
	case p.RST || p.FIN:
		delete(s.flows, key)
		return nil
	case p.Opens():
		if !known {
			s.counts.Opened++
		}
		s.flows[key] = struct{}{}
	case !known:
		s.counts.Unknown++
		answer, _ := flow.ResetFor(p)
		return answer
	}
	return acknowledge(p)
}

func acknowledge(p *flow.Packet) []byte {
	a := flow.Packet{Src: p.Dst, Dst: p.Src, SrcPort: p.DstPort, DstPort: p.SrcPort, Proto: p.Proto, ACK: true, SYN: p.SYN, Seq: p.Ack, Ack: p.Seq + uint32(p.PayloadLen)}
	if p.SYN {
		a.Ack++
	}
	answer, _ := flow.Build(a, nil)
	return answer
}

// Counts returns a copy of the counts.
func (s *PacketServer) Counts() PacketCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Open = len(s.flows)
	return c
}
