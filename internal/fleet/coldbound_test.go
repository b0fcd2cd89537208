package fleet

import (
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/warmup"
)

// Guards against a zone whose evacuation ended and whose backend servers get no flow or
// no bound, since their heartbeats do not say yet that they are cold.
func TestAdmitZone(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "c1", time.Now)
	defer log.Close(time.Second)
	h := &ControlHost{
		log: log, metrics: metrics.New(), started: time.Now(), entryHosts: newEntryHosts(),
		catalog: catalog.New(catalog.Config{Self: "c1", Interval: time.Second, ColdBound: true}),
		cold: coldServices{bound: warmup.Bound{Overage: 1.5, Slack: 5}, document: &document.Document{
			ServiceSettings: []document.ServiceSettings{{Name: "s", Warmup: 60_000}},
		}},
	}
	h.entryHosts.followerChanged(feed.HostInfo{Addr: "e1", Zone: "a"}, true)
	h.entryHosts.followerChanged(feed.HostInfo{Addr: "e2", Zone: "b"}, true)
	for i, zone := range []string{"a", "b"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		h.catalog.ReceiveHeartbeat(h.now(), catalog.Heartbeat{ID: "in-" + zone, Service: "s", Zone: zone, Address: address, Born: 1, Sequence: 1})
	}
	before := h.catalog.SteeringRevision()
	c.Assert(h.admitOwned(), qt.IsFalse)
	c.Assert(h.admitZone("a"), qt.IsTrue)
	c.Assert(h.admitZone("a"), qt.IsFalse, qt.Commentf("the admission stays"))
	changed := h.catalog.SteeringSince(before)
	c.Assert(changed, qt.HasLen, 1)
	c.Assert(changed[0].ID, qt.Equals, "in-a")
	c.Assert(*changed[0].Admission, qt.DeepEquals, warmup.Admission{Hosts: []string{"e1", "e2"}, Each: 1, Generation: 1})
}
