package flow_test

import (
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/flow"
)

// TestBuildAgreesWithGopacket checks that gopacket parses the packets of Build and
// builds the same bytes from its own fields, lengths and checksums.
func TestBuildAgreesWithGopacket(t *testing.T) {
	c := qt.New(t)
	for _, p := range packets() {
		for _, payload := range []string{"", "abc", "abcd"} {
			data, err := flow.Build(p, []byte(payload))
			c.Assert(err, qt.IsNil)
			first := layers.LayerTypeIPv4
			if p.Dst.Is6() {
				first = layers.LayerTypeIPv6
			}
			parsed := gopacket.NewPacket(data, first, gopacket.Default)
			c.Assert(parsed.ErrorLayer(), qt.IsNil)
			c.Assert(rebuild(c, parsed, payload), qt.DeepEquals, data)
		}
	}
}

// rebuild returns the packet that gopacket builds from its parsed layers.
func rebuild(c *qt.C, parsed gopacket.Packet, payload string) []byte {
	network := parsed.NetworkLayer()
	var transport gopacket.SerializableLayer
	switch l := parsed.TransportLayer().(type) {
	case *layers.TCP:
		c.Assert(l.SetNetworkLayerForChecksum(network), qt.IsNil)
		transport = l
	case *layers.UDP:
		c.Assert(l.SetNetworkLayerForChecksum(network), qt.IsNil)
		transport = l
	}
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buf, opts, network.(gopacket.SerializableLayer), transport, gopacket.Payload(payload))
	c.Assert(err, qt.IsNil)
	return buf.Bytes()
}

// FuzzParseAgreesWithGopacket checks that Parse and gopacket read the same fields
// from a packet that both accept.
func FuzzParseAgreesWithGopacket(f *testing.F) {
	for _, p := range packets() {
		data, err := flow.Build(p, []byte("abc"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p flow.Packet
		if flow.Parse(data, &p) != nil {
			return
		}
		first := layers.LayerTypeIPv4
		if data[0]>>4 == 6 {
			first = layers.LayerTypeIPv6
		}
		parsed := gopacket.NewPacket(data, first, gopacket.Default)
		if parsed.NetworkLayer() == nil || parsed.TransportLayer() == nil {
			return // gopacket is stricter than Parse, for example about options
		}
		src, dst := parsed.NetworkLayer().NetworkFlow().Endpoints()
		qt.Assert(t, src.String(), qt.Equals, p.Src.String())
		qt.Assert(t, dst.String(), qt.Equals, p.Dst.String())
		switch l := parsed.TransportLayer().(type) {
		case *layers.TCP:
			qt.Assert(t, [2]uint16{uint16(l.SrcPort), uint16(l.DstPort)}, qt.Equals, [2]uint16{p.SrcPort, p.DstPort})
			qt.Assert(t, [4]bool{l.SYN, l.ACK, l.FIN, l.RST}, qt.Equals, [4]bool{p.SYN, p.ACK, p.FIN, p.RST})
			qt.Assert(t, [2]uint32{l.Seq, l.Ack}, qt.Equals, [2]uint32{p.Seq, p.Ack})
		case *layers.UDP:
			qt.Assert(t, [2]uint16{uint16(l.SrcPort), uint16(l.DstPort)}, qt.Equals, [2]uint16{p.SrcPort, p.DstPort})
		}
	})
}
