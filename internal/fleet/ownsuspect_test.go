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

var testRoute = netip.MustParseAddrPort("198.18.0.1:443")

// newTestEntry returns an entry host without sockets that tracks flows, with two backend
// servers of one route.
func newTestEntry(t *testing.T, cfg Config, first, second string) *EntryHost {
	log := eventlog.New(io.Discard, "e1", time.Now)
	t.Cleanup(func() { log.Close(time.Second) })
	m := metrics.New()
	h := &EntryHost{
		cfg: cfg, log: log, started: time.Now(), documents: map[string]*document.Document{},
		steerer: steering.New(steering.Config{Zone: cfg.Zone}), catalog: catalog.New(catalog.Config{Interval: time.Second}),
		flows: &flowTracker{table: conntrack.New(conntrack.Config{}), samples: newSampler("e1"), refused: m.Counter("r"), tracked: m.Gauge("t")},
	}
	h.controlHosts = newControlHosts(context.Background(), feed.HostInfo{}, nil, h)
	var records []catalog.Record
	for i, id := range []string{first, second} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		records = append(records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: id, Service: "s", Zone: "a", Address: address, Born: 1}})
	}
	h.Updated("c1", feed.Update{
		Synced: true, Records: records,
		Document: &document.Document{Version: 1, Routes: []document.Route{{Address: testRoute, Targets: []document.Target{{Service: "s", Weight: 1}}}}},
	})
	return h
}

// open opens a flow and returns the backend server that gets it.
func (h *EntryHost) open(now time.Duration, port uint16) string {
	p := steering.Packet{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Route: testRoute, Opening: true}
	d := h.steerer.Decide(now, p)
	h.flows.observe(now, p, d)
	return d.Server.ID
}

// An entry host that gets its own report back does not count it again, but counts
// those of other hosts.
func TestOwnSuspectsAreLeftOut(t *testing.T) {
	cfg := Config{IP: "10.0.0.1", Internal: []int{7000}, Zone: "a"}
	h := newTestEntry(t, cfg, "own", "other")
	h.Updated("c1", feed.Update{Synced: true, Suspects: []feed.Suspect{
		{ID: "own", Born: 1, Reporter: cfg.feedAddr()}, {ID: "other", Born: 1, Reporter: "10.0.0.2:7000"},
	}})
	for port := range uint16(4) { // without the suspicion the two would take turns
		qt.Assert(t, h.open(h.now(), 1000+port), qt.Equals, "own")
	}
}

// Guards against refusals that have no effect on where the next flows go, or that no
// control host learns of.
func TestRefusalsReachSteererAndReport(t *testing.T) {
	c := qt.New(t)
	h := newTestEntry(t, Config{Zone: "a"}, "x1", "x2")
	refusing := h.open(time.Millisecond, 1)
	for now := time.Duration(0); now <= 500*time.Millisecond; now += flowTick {
		h.tickFlows(now)
	}
	for port := range uint16(4) {
		c.Assert(h.open(500*time.Millisecond, 10+port), qt.Not(qt.Equals), refusing)
	}
	samples, omitted := h.flows.samples.take()
	c.Assert(samples, qt.DeepEquals, []pace.Sample{{Token: uint32(steering.TokenOf(refusing)), Route: routeHash(testRoute), Kind: pace.Refused}})
	c.Assert(omitted, qt.Equals, 0)
}
