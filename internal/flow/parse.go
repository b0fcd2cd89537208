package flow

import (
	"encoding/binary"
	"net/netip"
)

// Sizes and offsets of headers. They are parsed here and not by a library,
// since those that were weighed build large tables at each start of a process.
const (
	ip4MinHeader = 20
	ip6Header    = 40
	tcpMinHeader = 20
	udpHeader    = 8

	ip4FragmentBits = 0x3fff // more fragments, and the offset
)

// Bits of the TCP flags.
const (
	tcpFIN = 1 << iota
	tcpSYN
	tcpRST
	tcpPSH
	tcpACK
)

// Parse fills out from an IP packet. Fragments and protocols other than TCP
// and UDP are refused with kind Invalid.
func Parse(data []byte, out *Packet) error {
	if len(data) == 0 {
		return malformed("it is empty")
	}
	*out = Packet{}
	var transport []byte
	var err error
	switch data[0] >> 4 {
	case 4:
		transport, err = parseIP4(data, out)
	case 6:
		transport, err = parseIP6(data, out)
	default:
		return malformed("its version is neither 4 nor 6")
	}
	if err != nil {
		return err
	}
	switch out.Proto {
	case protoTCP:
		return parseTCP(transport, out)
	case protoUDP:
		return parseUDP(transport, out)
	}
	return malformed("it carries neither TCP nor UDP")
}

// parseIP4 returns what follows the IPv4 header.
func parseIP4(data []byte, out *Packet) ([]byte, error) {
	if len(data) < ip4MinHeader {
		return nil, malformed("it is cut short")
	}
	header := int(data[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(data[2:]))
	if header < ip4MinHeader || total < header || total > len(data) {
		return nil, malformed("it is cut short")
	}
	if binary.BigEndian.Uint16(data[6:])&ip4FragmentBits != 0 {
		return nil, malformed("it is a fragment")
	}
	out.Proto = data[9]
	out.Src, out.Dst = netip.AddrFrom4([4]byte(data[12:16])), netip.AddrFrom4([4]byte(data[16:20]))
	return data[header:total], nil
}

// parseIP6 returns what follows the IPv6 header. Extension headers are not
// supported.
func parseIP6(data []byte, out *Packet) ([]byte, error) {
	if len(data) < ip6Header {
		return nil, malformed("it is cut short")
	}
	end := ip6Header + int(binary.BigEndian.Uint16(data[4:]))
	if end > len(data) {
		return nil, malformed("it is cut short")
	}
	out.Proto = data[6]
	out.Src, out.Dst = netip.AddrFrom16([16]byte(data[8:24])), netip.AddrFrom16([16]byte(data[24:40]))
	return data[ip6Header:end], nil
}

func parseTCP(data []byte, out *Packet) error {
	if len(data) < tcpMinHeader {
		return malformed("it is cut short")
	}
	header := int(data[12]>>4) * 4
	if header < tcpMinHeader || header > len(data) {
		return malformed("it is cut short")
	}
	out.SrcPort, out.DstPort = binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:])
	out.Seq, out.Ack = binary.BigEndian.Uint32(data[4:]), binary.BigEndian.Uint32(data[8:])
	flags := data[13]
	out.FIN, out.SYN = flags&tcpFIN != 0, flags&tcpSYN != 0
	out.RST, out.ACK = flags&tcpRST != 0, flags&tcpACK != 0
	out.Payload = len(data) - header
	return nil
}

func parseUDP(data []byte, out *Packet) error {
	if len(data) < udpHeader {
		return malformed("it is cut short")
	}
	length := int(binary.BigEndian.Uint16(data[4:]))
	if length < udpHeader || length > len(data) {
		return malformed("it is cut short")
	}
	out.SrcPort, out.DstPort = binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:])
	out.Payload = length - udpHeader
	return nil
}
