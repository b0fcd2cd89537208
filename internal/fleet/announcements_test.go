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
	"greengagequay/internal/metrics"
)

// newFirstStartControl returns a control host without a log at the first start of a
// deployment, before there is a document.
func newFirstStartControl(t *testing.T) *ControlHost {
	h := &ControlHost{
		cfg: Config{FirstStart: true}, log: eventlog.New(io.Discard, "c1", time.Now), metrics: metrics.New(), changes: newNotifier(), started: time.Now(),
		catalog: catalog.New(catalog.Config{Self: "c1", Interval: time.Second}),
	}
	t.Cleanup(func() { h.log.Close(time.Second) })
	return h
}

// announcementOf returns an announcement at the address that all of these tests use.
func announcementOf(id, service string, born int64, sequence uint64) catalog.Heartbeat {
	return catalog.Heartbeat{
		ID: id, Service: service, Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 2, Born: born, Sequence: sequence,
	}
}

// steeringStatuses returns the status of each backend server that entry hosts know, by id.
func steeringStatuses(h *ControlHost) map[string]catalog.Status {
	statuses := map[string]catalog.Status{}
	for _, r := range h.catalog.SteeringSince(0) {
		statuses[r.ID] = r.Status
	}
	return statuses
}

// Guards against resets of the flows of a backend server whose address is announced for a
// service that no document names, by an id that was first seen before the first document.
func TestUnnamedServiceSeenBeforeTheDocumentTakesNoAddress(t *testing.T) {
	c := qt.New(t)
	h := newFirstStartControl(t)
	c.Assert(h.Announce(announcementOf("i-a1", "orders", 1, 1)), qt.IsNil)
	_ = h.Announce(announcementOf("i-f1", "telemetry", 2, 1)) // may be acknowledged
	h.setDocument(&document.Document{Version: 1, Services: []string{"orders"}})
	c.Assert(h.Announce(announcementOf("i-a1", "orders", 1, 2)), qt.IsNil)
	c.Assert(steeringStatuses(h)["i-a1"], qt.Equals, catalog.Ready)

	c.Assert(h.Announce(announcementOf("i-f1", "telemetry", 2, 2)), qt.ErrorMatches, `service "telemetry" .* is not in the document.*`)
	c.Assert(steeringStatuses(h)["i-a1"], qt.Equals, catalog.Ready)
}

// Guards against a backend server that can no longer drain, or is taken for silent, since
// a later document drops its service while its flows are open; and against a dropped
// service that takes an address.
func TestServiceThatALaterDocumentDrops(t *testing.T) {
	c := qt.New(t)
	h := newFirstStartControl(t)
	h.setDocument(&document.Document{Version: 1, Services: []string{"orders", "photos"}})
	c.Assert(h.Announce(announcementOf("i-a1", "orders", 5, 1)), qt.IsNil)
	h.setDocument(&document.Document{Version: 2, Services: []string{"photos"}})

	elsewhere := announcementOf("i-a1", "orders", 5, 2)
	elsewhere.Address = netip.MustParseAddrPort("10.0.0.2:80")
	for name, b := range map[string]catalog.Heartbeat{
		"another id": announcementOf("i-b2", "orders", 6, 1), "a later start": announcementOf("i-a1", "orders", 6, 1), "another address": elsewhere,
	} {
		c.Assert(h.Announce(b), qt.ErrorMatches, `service "orders" .* is not in the document.*`, qt.Commentf(name))
	}
	c.Assert(h.Announce(announcementOf("i-a1", "orders", 5, 3)), qt.IsNil)
	c.Assert(steeringStatuses(h), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Ready})
	last := announcementOf("i-a1", "orders", 5, 4)
	last.Draining = true
	c.Assert(h.Announce(last), qt.IsNil)
	c.Assert(steeringStatuses(h), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Draining})

	c.Assert(h.Announce(announcementOf("i-c3", "photos", 7, 1)), qt.IsNil, qt.Commentf("the address is used again"))
	c.Assert(h.Announce(announcementOf("i-a1", "orders", 5, 5)), qt.IsNotNil, qt.Commentf("it is gone"))
	c.Assert(steeringStatuses(h), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Gone, "i-c3": catalog.Ready})
}
