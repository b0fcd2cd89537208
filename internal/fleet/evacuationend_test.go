package fleet

import (
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/evacuation"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
	"greengagequay/internal/warmup"
)

// Guards against a host that uses the admission of an earlier warm-up after the end of an
// evacuation, although the update with the end names other hosts, since its next table
// has to wait.
func TestEndOfAnEvacuationComesWithItsAdmissions(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "e1", time.Now)
	defer log.Close(time.Second)
	bound := warmup.Bound{Slack: 1}
	h := &EntryHost{
		cfg: Config{Name: "e1"}, features: Features{Evacuations: true, ColdBound: true}, log: log, metrics: metrics.New(), started: time.Now(),
		documents: map[string]*document.Document{}, catalog: catalog.New(catalog.Config{Interval: time.Second, ColdBound: true}),
		steerer: steering.New(steering.Config{Zone: "a", Host: "e1", ColdBound: bound, Evacuations: true}),
	}
	h.controlHosts = newControlHosts(t.Context(), feed.HostInfo{}, nil, h)
	route := netip.MustParseAddrPort("198.18.0.1:443")
	update := func(revision uint64, evacuated bool, host string, generation uint32) feed.Update {
		record := catalog.Record{Heartbeat: catalog.Heartbeat{ID: "x", Service: "s", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1, Sequence: uint64(generation)}}
		record.Admission = &warmup.Admission{Hosts: []string{host}, Each: 1, Generation: generation}
		e := &feed.Evacuations{Set: evacuation.Set{Revision: revision, Zones: []evacuation.ZoneState{{Zone: "a", Evacuated: evacuated, Revision: revision}}}}
		if !evacuated {
			e.Ended = map[string]time.Duration{"a": 0}
		}
		return feed.Update{Evacuations: e, Records: []catalog.Record{record}}
	}
	first := update(1, true, "e1", 1)
	first.Document = &document.Document{
		Version: 1, Routes: []document.Route{{Address: route, Targets: []document.Target{{Service: "s", Weight: 1}}}},
		ServiceSettings: []document.ServiceSettings{{Name: "s", Warmup: 60_000}},
	}
	h.Updated("c1", first)
	h.pacer = rebuildPacer{built: true, endedAt: h.now(), took: time.Minute} // as on a host with little processor time
	h.Updated("c1", update(2, false, "e2", 2))
	d := h.steerer.Decide(h.now(), steering.Packet{Caller: netip.MustParseAddrPort("10.9.0.1:1000"), Route: route, Opening: true})
	c.Assert(d.Reason, qt.Equals, steering.Cold)
}
