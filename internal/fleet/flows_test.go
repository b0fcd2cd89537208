package fleet

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/conntrack"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/pace"
	"greengagequay/internal/steering"
)

// Guards against outcomes that have no effect on where the next flows go, or that no
// control host learns of.
func TestRefusalsReachSteererAndReport(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "e1", time.Now)
	defer log.Close(time.Second)
	h := &EntryHost{
		log: log, started: time.Now(), documents: map[string]*document.Document{},
		steerer: steering.New(steering.Config{Zone: "a"}), catalog: catalog.New(catalog.Config{Interval: time.Second}),
	}
	m := metrics.New()
	h.flows = &flowTracker{
		table: conntrack.New(conntrack.Config{}), samples: newSampler("e1"), answered: m.Timing("a"), refused: m.Counter("b"),
		unanswered: m.Counter("c"), resets: m.Counter("d"), tracked: m.Gauge("e"),
	}
	h.controlHosts = newControlHosts(context.Background(), feed.HostInfo{}, nil, h)
	route := netip.MustParseAddrPort("198.18.0.1:443")
	var records []catalog.Record
	for i, id := range []string{"refusing", "other"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		records = append(records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: id, Service: "s", Zone: "a", Address: address, Born: 1}})
	}
	h.Updated("c1", feed.Update{Synced: true, Records: records, Document: &document.Document{
		Version: 1, Routes: []document.Route{{Address: route, Targets: []document.Target{{Service: "s", Weight: 1}}}},
	}})
	open := func(now time.Duration, port uint16) string {
		p := steering.Packet{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Route: route, Opening: true}
		d := h.steerer.Decide(now, p)
		if d.Server.ID == "refusing" { // the other one's flows are of no interest here
			h.flows.observe(now, p, d)
		}
		return d.Server.ID
	}
	c.Assert(open(time.Millisecond, 1) != open(2*time.Millisecond, 2), qt.IsTrue)
	for now := time.Duration(0); now <= 500*time.Millisecond; now += flowTick {
		h.tickFlows(now)
	}
	for port := range uint16(4) {
		c.Assert(open(500*time.Millisecond, 10+port), qt.Equals, "other")
	}
	samples, omitted := h.flows.samples.take()
	c.Assert(samples, qt.DeepEquals, []pace.Sample{{Token: uint32(steering.TokenOf("refusing")), Route: routeHash(route), Kind: pace.Refused}})
	c.Assert(omitted, qt.Equals, 0)
}
