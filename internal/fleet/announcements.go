package fleet

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
)

// Announce handles an announcement of a backend server.
func (h *ControlHost) Announce(b catalog.Heartbeat) error {
	h.mu.Lock()
	changed, err := h.receive(b)
	h.mu.Unlock()
	if err != nil {
		h.reject(b, err)
		return err
	}
	if changed {
		h.logBackend("a backend server announced a change", b.ID, b)
		h.changes.notify()
	}
	return nil
}

// receive puts an announcement in force, or holds it until the first document of the
// deployment. It reports whether followers must be told. The caller holds mu.
func (h *ControlHost) receive(b catalog.Heartbeat) (changed bool, err error) {
	if h.services == nil && h.cfg.FirstStart {
		return false, h.early.add(h.now(), b)
	}
	if err := h.checkAnnouncement(b); err != nil {
		return false, err
	}
	return h.applyAnnouncement(h.now(), b), nil
}

// applyAnnouncement puts an announcement in force that arrived at the given time. The
// caller holds mu.
func (h *ControlHost) applyAnnouncement(at time.Duration, b catalog.Heartbeat) (changed bool) {
	changed = h.catalog.ReceiveHeartbeat(at, b)
	if b.WarmLeft > 0 {
		changed = h.admitCold(b.ID) || changed // followers get the admission with the change
	}
	return changed
}

// reject counts and logs an announcement that has no effect.
func (h *ControlHost) reject(b catalog.Heartbeat, err error) {
	h.metrics.Counter("control.rejected_announcements").Inc(1)
	h.metrics.Counter("control.rejected_announcements." + string(fault.KindOf(err))).Inc(1)
	h.log.Event("rejected", "rejected an announcement", eventlog.Fields{
		"backend": b.ID, "service": b.Service, "address": b.Address, "born": b.Born, "error": err.Error(),
	})
}

// checkAnnouncement returns an error for an announcement that would have no effect. It
// must not be acknowledged: the backend server could rely on it. The caller holds mu.
func (h *ControlHost) checkAnnouncement(b catalog.Heartbeat) error {
	switch {
	case h.services == nil:
		return fault.New(fault.NotCurrent, "announce to another control host", "this control host has no document yet")
	case !h.serves(b):
		return fault.New(fault.NotFound, "add the service to the document, or announce to another control host", "service %q of backend server %q is not in the document", b.Service, b.ID)
	case h.catalog.IsOfEarlierStart(h.now(), b):
		return fault.New(fault.NotCurrent, "announce again once the later start is silent", "backend server %q started again after start %d", b.ID, b.Born)
	case h.catalog.IsAddressTaken(h.now(), b):
		return fault.New(fault.NotCurrent, "announce again once the later one is silent", "another backend server started at %v after start %d of %q", b.Address, b.Born, b.ID)
	}
	return nil
}

// serves reports whether the document names the service of a backend server. If a later
// document dropped that service, the starts that are known keep their flows, so they are
// served until they end, where they are. The caller holds mu.
func (h *ControlHost) serves(b catalog.Heartbeat) bool {
	return h.services[b.Service] || h.catalog.Continues(b)
}

// setServices sets the services that the document names. The caller holds mu and
// notifies the followers.
func (h *ControlHost) setServices(names []string) {
	h.services = make(map[string]bool, len(names))
	for _, name := range names {
		h.services[name] = true
	}
}

// releaseEarly puts the announcements in force that have waited for the first document,
// as of when they arrived, and rejects those of services that it does not name. The
// caller holds mu and notifies the followers.
func (h *ControlHost) releaseEarly() {
	for _, a := range h.early {
		if err := h.checkAnnouncement(a.Heartbeat); err != nil {
			h.reject(a.Heartbeat, err)
			continue
		}
		h.applyAnnouncement(a.at, a.Heartbeat)
		h.logBackend("the first document names the service of a backend server", a.ID, a.Heartbeat)
	}
	clear(h.early)
}

// earlyCount returns the number of backend servers that wait for the first document.
func (h *ControlHost) earlyCount() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(len(h.early))
}

func (h *ControlHost) logBackend(message, id string, b catalog.Heartbeat) {
	h.log.Event("backend", message, eventlog.Fields{
		"backend": id, "service": b.Service, "address": b.Address, "zone": b.Zone,
		"draining": b.Draining, "sequence": b.Sequence, "born": b.Born,
	})
}

// Leave handles the departure of a backend server.
func (h *ControlHost) Leave(id string, born int64) {
	h.mu.Lock()
	effect := h.catalog.Leave(h.now(), id, born)
	if h.early.leave(id, born) {
		effect = catalog.DepartureDone
	}
	h.mu.Unlock()
	h.logDeparture(id, born, effect)
	if effect != catalog.DepartureIgnored {
		h.changes.notify()
	}
}

func (h *ControlHost) logDeparture(id string, born int64, effect catalog.DepartureEffect) {
	kind, message := "backend", "a backend server left"
	switch effect {
	case catalog.DepartureNoted:
		message = "a departure without a start counts once the backend server is silent"
	case catalog.DepartureIgnored:
		kind, message = "rejected", "ignored a departure: the backend server is unknown or gone, or the departure may be of an earlier start"
		h.metrics.Counter("control.ignored_departures").Inc(1)
	}
	h.log.Event(kind, message, eventlog.Fields{"backend": id, "born": born})
}

// Malformed counts and logs an announcement or a departure that could not be parsed.
func (h *ControlHost) Malformed(id string, err error) {
	h.metrics.Counter("control.malformed_announcements").Inc(1)
	h.log.Event("malformed", "rejected a malformed announcement or departure", eventlog.Fields{"backend": id, "error": err.Error()})
}
