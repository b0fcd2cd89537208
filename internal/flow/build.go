package flow

import (
	"encoding/binary"
	"fmt"

	"greengagequay/internal/fault"
)

// hopLimit is the TTL or hop limit of the packets that Build returns.
const hopLimit = 64

// tcpWindow is the TCP window of the packets that Build returns, in bytes.
const tcpWindow = 65535

// maxPayload is the longest payload that Build accepts, in bytes.
const maxPayload = 65535 - ip6Header - tcpMinHeader

// Build returns an IP packet with the header fields of p and the payload. It
// ignores p.PayloadLen.
func Build(p Packet, payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, fault.New(fault.Invalid, "split the payload", "build packet: a payload of %d bytes is too long", len(payload))
	}
	transport := append(buildTransport(p), payload...)
	switch {
	case p.Src.Is4() && p.Dst.Is4():
		return append(buildIP4(p, len(transport)), setLengthAndChecksum(p, transport)...), nil
	case p.Src.Is6() && p.Dst.Is6():
		return append(buildIP6(p, len(transport)), setLengthAndChecksum(p, transport)...), nil
	}
	return nil, fmt.Errorf("build packet: addresses %v and %v are not both IPv4 or both IPv6", p.Src, p.Dst)
}

func buildIP4(p Packet, length int) []byte {
	b := make([]byte, ip4MinHeader, ip4MinHeader+length)
	b[0] = 4<<4 | ip4MinHeader/4
	binary.BigEndian.PutUint16(b[2:], uint16(ip4MinHeader+length))
	b[8], b[9] = hopLimit, p.Proto
	src, dst := p.Src.As4(), p.Dst.As4()
	copy(b[12:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[10:], checksum(b, 0))
	return b
}

func buildIP6(p Packet, length int) []byte {
	b := make([]byte, ip6Header, ip6Header+length)
	b[0] = 6 << 4
	binary.BigEndian.PutUint16(b[4:], uint16(length))
	b[6], b[7] = p.Proto, hopLimit
	src, dst := p.Src.As16(), p.Dst.As16()
	copy(b[8:], src[:])
	copy(b[24:], dst[:])
	return b
}

// buildTransport returns a TCP or UDP header in which the UDP length and the
// checksum are still 0.
func buildTransport(p Packet) []byte {
	b := make([]byte, udpHeader)
	if p.Proto == protoTCP {
		b = make([]byte, tcpMinHeader)
		binary.BigEndian.PutUint32(b[4:], p.Seq)
		binary.BigEndian.PutUint32(b[8:], p.Ack)
		b[12], b[13] = tcpMinHeader/4<<4, tcpFlags(p)
		binary.BigEndian.PutUint16(b[14:], tcpWindow)
	}
	binary.BigEndian.PutUint16(b, p.SrcPort)
	binary.BigEndian.PutUint16(b[2:], p.DstPort)
	return b
}

func tcpFlags(p Packet) byte {
	flags := byte(0)
	for _, f := range []struct {
		set bool
		bit byte
	}{{p.FIN, tcpFIN}, {p.SYN, tcpSYN}, {p.RST, tcpRST}, {p.ACK, tcpACK}} {
		if f.set {
			flags |= f.bit
		}
	}
	return flags
}

// setLengthAndChecksum sets the checksum, and for UDP also the length, in a TCP or
// UDP header that is followed by its payload.
func setLengthAndChecksum(p Packet, transport []byte) []byte {
	checksumOffset := 16
	if p.Proto != protoTCP {
		checksumOffset = 6
		binary.BigEndian.PutUint16(transport[4:], uint16(len(transport)))
	}
	pseudoHeader := append(p.Src.AsSlice(), p.Dst.AsSlice()...)
	pseudoHeader = binary.BigEndian.AppendUint32(pseudoHeader, uint32(len(transport)))
	pseudoHeader = append(pseudoHeader, 0, 0, 0, p.Proto)
	sum := checksum(transport, addWords(pseudoHeader, 0))
	if sum == 0 && p.Proto != protoTCP {
		sum = 0xffff // a UDP checksum of 0 means that there is no checksum
	}
	binary.BigEndian.PutUint16(transport[checksumOffset:], sum)
	return transport
}

// addWords adds the 16-bit words of b to sum. It pads an odd last byte with 0.
func addWords(b []byte, sum uint32) uint32 {
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// checksum returns the Internet checksum of b and of the words already added to
// sum.
func checksum(b []byte, sum uint32) uint16 {
	sum = addWords(b, sum)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}

// ResetFor returns the TCP reset with which the destination of p would answer p.
// It must not be called for a reset or a UDP packet.
func ResetFor(p *Packet) ([]byte, error) {
	r := Packet{Src: p.Dst, Dst: p.Src, SrcPort: p.DstPort, DstPort: p.SrcPort, Proto: p.Proto, RST: true}
	if p.ACK {
		r.Seq = p.Ack
	} else {
		r.ACK = true
		r.Ack = p.Seq + uint32(p.PayloadLen)
		if p.SYN {
			r.Ack++
		}
		if p.FIN {
			r.Ack++
		}
	}
	return Build(r, nil)
}
