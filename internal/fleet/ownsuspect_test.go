package fleet

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/steering"
)

// An entry host that gets its own report back does not count it again, but counts
// those of other hosts.
func TestOwnSuspectsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "e1", time.Now)
	defer log.Close(time.Second)
	cfg := Config{IP: "10.0.0.1", Internal: []int{7000}, Zone: "a"}
	h := &EntryHost{
		cfg: cfg, log: log, started: time.Now(), documents: map[string]*document.Document{},
		steerer: steering.New(steering.Config{Zone: cfg.Zone}), catalog: catalog.New(catalog.Config{Interval: time.Second}),
	}
	h.controlHosts = newControlHosts(context.Background(), feed.HostInfo{}, nil, h)
	route := netip.MustParseAddrPort("198.18.0.1:443")
	var records []catalog.Record
	for i, id := range []string{"own", "other"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		records = append(records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: id, Service: "s", Zone: "a", Address: address, Born: 1}})
	}
	h.Updated("c1", feed.Update{
		Synced: true, Records: records,
		Document: &document.Document{Version: 1, Routes: []document.Route{{Address: route, Targets: []document.Target{{Service: "s", Weight: 1}}}}},
	})
	h.Updated("c1", feed.Update{Synced: true, Suspects: []feed.Suspect{
		{ID: "own", Born: 1, Reporter: cfg.feedAddr()}, {ID: "other", Born: 1, Reporter: "10.0.0.2:7000"},
	}})
	for port := range uint16(4) { // without the suspicion the two would take turns
		d := h.steerer.Decide(h.now(), steering.Packet{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), 1000+port), Route: route, Opening: true})
		c.Assert(d.Server.ID, qt.Equals, "own")
	}
}
