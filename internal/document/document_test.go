package document

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

func validDocument() *Document {
	return &Document{
		Version:  3,
		Services: []string{"orders", "photos"},
		Routes: []Route{
			{Name: "a", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: 500, Targets: []Target{{"orders", 1}}},
			{Name: "b", Address: netip.MustParseAddrPort("198.18.0.1:80"), Timeout: 500, Targets: []Target{{"orders", 9}, {"photos", 1}}},
		},
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name    string
		modify  func(*Document)
		message string // empty if the document is valid
	}{
		{"valid", func(*Document) {}, ""},
		{"no version", func(d *Document) { d.Version = 0 }, ".*no version.*"},
		{"unnamed service", func(d *Document) { d.Services[1] = "" }, ".*is empty or listed twice.*"},
		{"service twice", func(d *Document) { d.Services[1] = "orders" }, ".*is empty or listed twice.*"},
		{"unknown service", func(d *Document) { d.Routes[1].Targets[1].Service = "x" }, `.*unknown service "x".*`},
		{"unknown service of weight 0", func(d *Document) { d.Routes[1].Targets[1] = Target{"x", 0} }, `.*unknown service "x".*`},
		{"same address", func(d *Document) { d.Routes[1].Address = d.Routes[0].Address }, `.*share the address.*`},
		{"no address", func(d *Document) { d.Routes[0].Address = netip.AddrPort{} }, ".*no valid address.*"},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, ".*timeout of 0.*"},
		{"no target", func(d *Document) { d.Routes[0].Targets = nil }, ".*weight above 0.*"},
		{"no weight", func(d *Document) { d.Routes[0].Targets[0].Weight = 0 }, ".*weight above 0.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := validDocument()
			tt.modify(d)
			err := d.Check()
			if tt.message == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tt.message)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
		})
	}
}
