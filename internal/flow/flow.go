// Package flow parses and builds IP packets, and identifies the flow of a packet
// by a hash of its addresses and ports.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/fault"
	"greengagequay/internal/table"
)

// Packet holds the fields of an IP packet that routing depends on.
type Packet struct {
	Src, Dst         netip.Addr
	SrcPort, DstPort uint16
	Proto            uint8 // IP protocol number
	SYN, ACK         bool  // TCP flags, false for UDP
	FIN, RST         bool
	Seq, Ack         uint32 // TCP sequence and acknowledgement numbers
	PayloadLen       int    // length of the TCP or UDP payload, in bytes
}

// Endpoint returns the destination as a key of table.Table.ByAddress.
func (p *Packet) Endpoint() table.Endpoint {
	return table.Endpoint{Addr: p.Dst, Port: p.DstPort, Proto: p.Proto}
}

// Opens reports whether the packet opens a flow. It is true for every UDP packet,
// since any of them may open a flow.
func (p *Packet) Opens() bool { return p.Proto != protoTCP || p.SYN && !p.ACK }

// TCP reports whether the packet is a TCP packet.
func (p *Packet) TCP() bool { return p.Proto == protoTCP }

// IP protocol numbers.
const (
	protoTCP = 6
	protoUDP = 17
)

// Hash returns the hash of the flow's addresses, ports and protocol, keyed by
// seed.
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

func malformed(why string) error {
	return fault.New(fault.Invalid, "check the encapsulation of the fabric", "malformed packet: %s", why)
}
