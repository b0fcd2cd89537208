package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/feed"
)

// newFirstStartControl returns a control host at the first start of a deployment, before
// there is a document.
func newFirstStartControl(t *testing.T) *ControlHost {
	h := newControlWithoutDocument(Config{FirstStart: true, HeartbeatMs: 770})
	t.Cleanup(func() {
		h.cancel()
		h.log.Close(time.Second)
	})
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

// recordsFor returns the records of backend servers that a new follower of a control host
// gets.
func recordsFor(h *ControlHost, follower feed.HostInfo) []catalog.Record {
	u, _, _ := h.Next(feed.Hello{From: follower}, feed.Cursor{})
	return u.Records
}

// Guards against resets of the flows of a backend server whose address is announced for a
// service that no document names, at a control host that lacks the first document while
// the others have it.
func TestControlHostWithoutTheFirstDocumentPassesNothingOn(t *testing.T) {
	c := qt.New(t)
	ahead, behind := newFirstStartControl(t), newFirstStartControl(t)
	entryHost, controlHost := feed.HostInfo{Addr: "e1"}, feed.HostInfo{Addr: "c2", Control: true}
	d := &document.Document{Version: 1, Services: []string{"orders"}}
	ahead.setDocument(d)
	c.Assert(ahead.Announce(announcementOf("i-a1", "orders", 1, 1)), qt.IsNil)

	_ = behind.Announce(announcementOf("i-f1", "telemetry", 2, 1)) // may be acknowledged
	for _, follower := range []feed.HostInfo{controlHost, entryHost} {
		ahead.catalog.Merge(ahead.now(), "c2", recordsFor(behind, follower))
	}
	c.Assert(steeringStatuses(ahead), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Ready})

	behind.catalog.Merge(behind.now(), "c1", recordsFor(ahead, controlHost))
	behind.setDocument(d)
	ahead.catalog.Merge(ahead.now(), "c2", recordsFor(behind, controlHost))
	for _, h := range []*ControlHost{ahead, behind} {
		c.Assert(steeringStatuses(h), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Ready})
	}
}

// Guards against backend servers that are unknown after the first document since they
// started before it, against a drain that is forgotten, and against dead ones that count
// as ready.
func TestAnnouncementsWaitForTheFirstDocument(t *testing.T) {
	c := qt.New(t)
	h := newFirstStartControl(t)
	at := func(b catalog.Heartbeat, port uint16) catalog.Heartbeat {
		b.Address = netip.AddrPortFrom(b.Address.Addr(), port)
		return b
	}
	last := at(announcementOf("i-b2", "orders", 1, 3), 2)
	last.Draining = true
	for _, b := range []catalog.Heartbeat{
		at(announcementOf("i-a1", "orders", 2, 1), 1), at(announcementOf("i-a1", "orders", 1, 9), 9), // the second one is of an earlier start
		last, at(announcementOf("i-b2", "orders", 1, 2), 2), at(announcementOf("i-b2", "orders", 1, 4), 2),
		at(announcementOf("i-c3", "photos", 1, 1), 3), at(announcementOf("i-d4", "telemetry", 9, 1), 1), at(announcementOf("i-e5", "photos", 4, 1), 5),
	} {
		c.Assert(h.Announce(b), qt.IsNil)
	}
	h.Leave("i-c3", 0)
	h.Leave("i-e5", 4)
	c.Assert(recordsFor(h, feed.HostInfo{Addr: "e1"}), qt.HasLen, 0)
	h.early["i-c3"] = earlyAnnouncement{h.early["i-c3"].Heartbeat, -time.Minute}
	h.setDocument(&document.Document{Version: 1, Services: []string{"orders", "photos"}})
	h.catalog.Tick(h.now())
	c.Assert(steeringStatuses(h), qt.DeepEquals, map[string]catalog.Status{"i-a1": catalog.Ready, "i-b2": catalog.Draining, "i-c3": catalog.Silent})
	c.Assert(h.early, qt.HasLen, 0)
	c.Assert(h.metrics.Counter("control.rejected_announcements").Count(), qt.Equals, int64(1), qt.Commentf("telemetry"))
}

// Guards against memory that another writer fills before the first document.
func TestEarlyAnnouncementsAreLimited(t *testing.T) {
	c := qt.New(t)
	e := earlyAnnouncements{}
	for n := range maxEarlyAnnouncements {
		c.Assert(e.add(0, announcementOf(fmt.Sprint(n), "orders", 1, 1)), qt.IsNil)
	}
	c.Assert(e.add(0, announcementOf("one more", "orders", 1, 1)), qt.ErrorMatches, ".*try again.*")
	c.Assert(e.add(time.Second, announcementOf("7", "orders", 1, 2)), qt.IsNil)
	e.expire(earlyRetention + time.Second)
	c.Assert(e, qt.HasLen, 1)
}
