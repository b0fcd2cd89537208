package flow

import (
	"encoding/binary"
	"fmt"

	"greengagequay/internal/fault"
)

// hopLimit is the time to live of packets that are built here.
const hopLimit = 64

// window is the TCP window of packets that are built here, in bytes.
const window = 65535

const maxPayload = 65535 - ip6Header - tcpMinHeader

// Build returns the IP packet that p describes, with the payload.
func Build(p Packet, payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, fault.New(fault.Invalid, "send it in parts", "build packet: %d bytes do not fit in one", len(payload))
	}
	transport := append(buildTransport(p), payload...)
	switch {
	case p.Src.Is4() && p.Dst.Is4():
		return append(buildIP4(p, len(transport)), checked(p, transport)...), nil
	case p.Src.Is6() && p.Dst.Is6():
		return append(buildIP6(p, len(transport)), checked(p, transport)...), nil
	}
	return nil, fmt.Errorf("build packet: addresses %v and %v are not of one version", p.Src, p.Dst)
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

// buildTransport returns a TCP or UDP header without length and checksum.
func buildTransport(p Packet) []byte {
	b := make([]byte, udpHeader)
	if p.Proto == protoTCP {
		b = make([]byte, tcpMinHeader)
		binary.BigEndian.PutUint32(b[4:], p.Seq)
		binary.BigEndian.PutUint32(b[8:], p.Ack)
		b[12], b[13] = tcpMinHeader/4<<4, tcpFlags(p)
		binary.BigEndian.PutUint16(b[14:], window)
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

// checked sets the length of a UDP packet and the checksum of both kinds.
func checked(p Packet, transport []byte) []byte {
	at := 16
	if p.Proto != protoTCP {
		at = 6
		binary.BigEndian.PutUint16(transport[4:], uint16(len(transport)))
	}
	pseudo := append(p.Src.AsSlice(), p.Dst.AsSlice()...)
	pseudo = binary.BigEndian.AppendUint32(pseudo, uint32(len(transport)))
	pseudo = append(pseudo, 0, 0, 0, p.Proto)
	sum := checksum(transport, sumOf(pseudo, 0))
	if sum == 0 && p.Proto != protoTCP {
		sum = 0xffff // 0 would mean that there is none
	}
	binary.BigEndian.PutUint16(transport[at:], sum)
	return transport
}

// sumOf adds the 16-bit words of b to sum.
func sumOf(b []byte, sum uint32) uint32 {
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// checksum returns the Internet checksum of b, on top of a sum.
func checksum(b []byte, sum uint32) uint16 {
	sum = sumOf(b, sum)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}

// ResetFor returns the TCP reset that answers p, as its destination would
// send it. It must not be called for a reset or for UDP.
func ResetFor(p *Packet) ([]byte, error) {
	r := Packet{Src: p.Dst, Dst: p.Src, SrcPort: p.DstPort, DstPort: p.SrcPort, Proto: p.Proto, RST: true}
	if p.ACK {
		r.Seq = p.Ack
	} else {
		r.ACK = true
		r.Ack = p.Seq + uint32(p.Payload)
		if p.SYN {
			r.Ack++
		}
		if p.FIN {
			r.Ack++
		}
	}
	return Build(r, nil)
}
