// Package flow identifies flows: it parses the headers of an IP packet and
// hashes the addresses and ports.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"greengagequay/internal/fault"
	"greengagequay/internal/table"
)

// Packet is what the routing of a packet depends on.
type Packet struct {
	Src, Dst         netip.Addr
	SrcPort, DstPort uint16
	Proto            uint8 // IP protocol number
	SYN, ACK         bool  // TCP flags, false for UDP
	FIN, RST         bool
	Seq, Ack         uint32 // TCP sequence numbers
	Payload          int    // bytes of TCP or UDP payload
}

// Endpoint returns the destination as a table key.
func (p *Packet) Endpoint() table.Endpoint {
	return table.Endpoint{Addr: p.Dst, Port: p.DstPort, Proto: p.Proto}
}

// Opens reports whether the packet opens a flow. Each UDP packet may.
func (p *Packet) Opens() bool { return p.Proto != protoTCP || p.SYN && !p.ACK }

// TCP reports whether the packet is one of TCP.
func (p *Packet) TCP() bool { return p.Proto == protoTCP }

const protoTCP = 6

// Hash returns the keyed hash of the flow's addresses and ports.
func (p *Packet) Hash(seed uint64) uint64 {
	var b [45]byte
	src, dst := p.Src.As16(), p.Dst.As16()
	binary.LittleEndian.PutUint64(b[0:], seed)
	copy(b[8:], src[:])
	copy(b[24:], dst[:])
	binary.BigEndian.PutUint16(b[40:], p.SrcPort)
	binary.BigEndian.PutUint16(b[42:], p.DstPort)
	b[44] = p.Proto
	return xxhash.Sum64(b[:])
}

// Parser parses packets. It is not safe for concurrent use.
type Parser struct {
	ip4     layers.IPv4
	ip6     layers.IPv6
	tcp     layers.TCP
	udp     layers.UDP
	v4, v6  *gopacket.DecodingLayerParser
	decoded []gopacket.LayerType
}

// NewParser returns a parser.
func NewParser() *Parser {
	p := &Parser{}
	p.v4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &p.ip4, &p.tcp, &p.udp)
	p.v6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &p.ip6, &p.tcp, &p.udp)
	p.v4.IgnoreUnsupported, p.v6.IgnoreUnsupported = true, true
	return p
}

// Parse fills out from an IP packet. Fragments and protocols other than TCP
// and UDP are refused with kind Invalid.
func (p *Parser) Parse(data []byte, out *Packet) error {
	if len(data) == 0 {
		return malformed("it is empty")
	}
	*out = Packet{}
	var version *gopacket.DecodingLayerParser
	switch data[0] >> 4 {
	case 4:
		version = p.v4
	case 6:
		version = p.v6
	default:
		return malformed("its version is neither 4 nor 6")
	}
	if err := version.DecodeLayers(data, &p.decoded); err != nil || version.Truncated {
		return malformed("it is cut short")
	}
	return p.fill(data, out)
}

func (p *Parser) fill(data []byte, out *Packet) error {
	transport := false
	for _, layer := range p.decoded {
		switch layer {
		case layers.LayerTypeIPv4:
			if p.ip4.FragOffset != 0 || p.ip4.Flags&layers.IPv4MoreFragments != 0 {
				return malformed("it is a fragment")
			}
			out.Src, _ = netip.AddrFromSlice(p.ip4.SrcIP)
			out.Dst, _ = netip.AddrFromSlice(p.ip4.DstIP)
		case layers.LayerTypeIPv6:
			out.Src, _ = netip.AddrFromSlice(p.ip6.SrcIP)
			out.Dst, _ = netip.AddrFromSlice(p.ip6.DstIP)
		case layers.LayerTypeTCP:
			transport = true
			out.Proto = protoTCP
			out.SrcPort, out.DstPort = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
			out.SYN, out.ACK, out.FIN, out.RST = p.tcp.SYN, p.tcp.ACK, p.tcp.FIN, p.tcp.RST
			out.Seq, out.Ack = p.tcp.Seq, p.tcp.Ack
			out.Payload = len(p.tcp.Payload)
		case layers.LayerTypeUDP:
			transport = true
			out.Proto = uint8(layers.IPProtocolUDP)
			out.SrcPort, out.DstPort = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
			out.Payload = len(p.udp.Payload)
		}
	}
	if !transport {
		return malformed("it carries neither TCP nor UDP")
	}
	return nil
}

func malformed(why string) error {
	return fault.New(fault.Invalid, "check the encapsulation of the fabric", "malformed packet: %s", why)
}
