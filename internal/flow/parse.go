package flow

import (
	"encoding/binary"
	"net/netip"
)

// Sizes of headers in bytes, and bits of the IPv4 header. Packets are parsed here
// and not by a library, since packet libraries build large tables at each start
// of a process.
const (
	ip4MinHeader = 20
	ip6Header    = 40
	tcpMinHeader = 20
	udpHeader    = 8

	ip4FragmentBits = 0x3fff // bits for more fragments and for the fragment offset
)

// Bits of the TCP flags.
const (
	tcpFIN = 1 << iota
	tcpSYN
	tcpRST
	tcpPSH
	tcpACK
)

// Parse parses an IP packet into out. It refuses fragments and protocols other than
// TCP and UDP with an error of kind Invalid.
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

// parseIP4 returns the data after the IPv4 header.
func parseIP4(data []byte, out *Packet) ([]byte, error) {
	if len(data) < ip4MinHeader {
		return nil, malformed("it is truncated or has an invalid length")
	}
	header := int(data[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(data[2:]))
	if header < ip4MinHeader || total < header || total > len(data) {
		return nil, malformed("it is truncated or has an invalid length")
	}
	if binary.BigEndian.Uint16(data[6:])&ip4FragmentBits != 0 {
		return nil, malformed("it is a fragment")
	}
	out.Proto = data[9]
	out.Src, out.Dst = netip.AddrFrom4([4]byte(data[12:16])), netip.AddrFrom4([4]byte(data[16:20]))
	return data[header:total], nil
}

// parseIP6 returns the data after the IPv6 header. It does not support extension
// headers.
func parseIP6(data []byte, out *Packet) ([]byte, error) {
	if len(data) < ip6Header {
		return nil, malformed("it is truncated or has an invalid length")
	}
	end := ip6Header + int(binary.BigEndian.Uint16(data[4:]))
	if end > len(data) {
		return nil, malformed("it is truncated or has an invalid length")
	}
	out.Proto = data[6]
	out.Src, out.Dst = netip.AddrFrom16([16]byte(data[8:24])), netip.AddrFrom16([16]byte(data[24:40]))
	return data[ip6Header:end], nil
}

func parseTCP(data []byte, out *Packet) error {
	if len(data) < tcpMinHeader {
		return malformed("it is truncated or has an invalid length")
	}
	header := int(data[12]>>4) * 4
	if header < tcpMinHeader || header > len(data) {
		return malformed("it is truncated or has an invalid length")
	}
	out.SrcPort, out.DstPort = binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:])
	out.Seq, out.Ack = binary.BigEndian.Uint32(data[4:]), binary.BigEndian.Uint32(data[8:])
	flags := data[13]
	out.FIN, out.SYN = flags&tcpFIN != 0, flags&tcpSYN != 0
	out.RST, out.ACK = flags&tcpRST != 0, flags&tcpACK != 0
	out.PayloadLen = len(data) - header
	return nil
}

func parseUDP(data []byte, out *Packet) error {
	if len(data) < udpHeader {
		return malformed("it is truncated or has an invalid length")
	}
	length := int(binary.BigEndian.Uint16(data[4:]))
	if length < udpHeader || length > len(data) {
		return malformed("it is truncated or has an invalid length")
	}
	out.SrcPort, out.DstPort = binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:])
	out.PayloadLen = length - udpHeader
	return nil
}
