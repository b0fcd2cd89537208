package flow_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/flow"
)

func packets() []flow.Packet {
	v4 := flow.Packet{
		Src: netip.MustParseAddr("198.51.100.7"), Dst: netip.MustParseAddr("203.0.113.10"),
		SrcPort: 40000, DstPort: 443, Proto: 6, SYN: true, Seq: 77,
	}
	v6 := v4
	v6.Src, v6.Dst = netip.MustParseAddr("2001:db8::7"), netip.MustParseAddr("2001:db8::10")
	udp := v4
	udp.Proto, udp.SYN, udp.Seq = 17, false, 0
	return []flow.Packet{v4, v6, udp}
}

func TestBuildAndParse(t *testing.T) {
	c := qt.New(t)
	for _, want := range packets() {
		data, err := flow.Build(want, []byte("abc"))
		c.Assert(err, qt.IsNil)
		var got flow.Packet
		c.Assert(flow.Parse(data, &got), qt.IsNil)
		want.PayloadLen = 3
		c.Check(got, qt.Equals, want)
		for n := range data {
			c.Check(flow.Parse(data[:n], &got), qt.IsNotNil, qt.Commentf("%d bytes", n))
		}
	}
}

func TestParseAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	data, err := flow.Build(packets()[0], nil)
	c.Assert(err, qt.IsNil)
	out := flow.Packet{}
	c.Check(testing.AllocsPerRun(100, func() { _ = flow.Parse(data, &out) }), qt.Equals, 0.0)
}

// FuzzParse checks that ResetFor builds a reset to the sender of every TCP packet
// that Parse accepts, unless that packet is a reset itself.
func FuzzParse(f *testing.F) {
	for _, p := range packets() {
		data, err := flow.Build(p, []byte("abc"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p, reset flow.Packet
		if flow.Parse(data, &p) != nil || !p.TCP() || p.RST {
			return
		}
		answer, err := flow.ResetFor(&p)
		if err != nil {
			t.Fatal(err)
		}
		if err := flow.Parse(answer, &reset); err != nil || !reset.RST || reset.Dst != p.Src {
			t.Fatalf("reset of %+v is %+v: %v", p, reset, err)
		}
	})
}
