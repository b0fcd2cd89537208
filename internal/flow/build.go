package flow

import (
	"fmt"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

// hopLimit is the time to live of packets that are built here.
const hopLimit = 64

// window is the TCP window of packets that are built here, in bytes.
const window = 65535

// Build returns the IP packet that p describes, with the payload.
func Build(p Packet, payload []byte) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	network, proto := networkLayer(p)
	var transport gopacket.SerializableLayer
	if proto == layers.IPProtocolTCP {
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(p.SrcPort), DstPort: layers.TCPPort(p.DstPort),
			SYN: p.SYN, ACK: p.ACK, FIN: p.FIN, RST: p.RST,
			Seq: p.Seq, Ack: p.Ack, Window: window,
		}
		_ = tcp.SetNetworkLayerForChecksum(network.(gopacket.NetworkLayer))
		transport = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(p.SrcPort), DstPort: layers.UDPPort(p.DstPort)}
		_ = udp.SetNetworkLayerForChecksum(network.(gopacket.NetworkLayer))
		transport = udp
	}
	if err := gopacket.SerializeLayers(buf, opts, network, transport, gopacket.Payload(payload)); err != nil {
		return nil, fmt.Errorf("build packet: %w", err)
	}
	return buf.Bytes(), nil
}

func networkLayer(p Packet) (gopacket.SerializableLayer, layers.IPProtocol) {
	proto := layers.IPProtocol(p.Proto)
	if p.Dst.Is4() {
		return &layers.IPv4{Version: 4, IHL: 5, TTL: hopLimit, Protocol: proto, SrcIP: p.Src.AsSlice(), DstIP: p.Dst.AsSlice()}, proto
	}
	return &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: proto, SrcIP: p.Src.AsSlice(), DstIP: p.Dst.AsSlice()}, proto
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
