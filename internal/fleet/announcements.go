package fleet

import (
	"greengagequay/internal/catalog"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
)

// Announce handles an announcement of a backend server.
func (h *ControlHost) Announce(b catalog.Heartbeat) error {
	h.mu.Lock()
	err := h.checkAnnouncement(b)
	changed := err == nil && h.catalog.ReceiveHeartbeat(h.now(), b)
	if err == nil && b.WarmLeft > 0 {
		changed = h.admitCold(b.ID) || changed // followers get the admission with the change
	}
	h.mu.Unlock()
	if err != nil {
		h.metrics.Counter("control.rejected_announcements").Inc(1)
		h.log.Event("rejected", "rejected an announcement", eventlog.Fields{
			"backend": b.ID, "service": b.Service, "address": b.Address, "born": b.Born, "error": err.Error(),
		})
		return err
	}
	if changed {
		h.logBackend("a backend server announced a change", b.ID, b)
		h.changes.notify()
	}
	return nil
}

// checkAnnouncement returns an error for an announcement that would have no effect. It
// must not be acknowledged: the backend server could rely on it. The caller holds mu.
func (h *ControlHost) checkAnnouncement(b catalog.Heartbeat) error {
	switch {
	case h.services == nil && !h.cfg.FirstStart:
		return fault.New(fault.NotCurrent, "announce to another control host", "this control host has no document yet")
	case !h.serves(b):
		return fault.New(fault.NotFound, "add the service to the document, or announce to another control host", "service %q of backend server %q is not in the document", b.Service, b.ID)
	case h.catalog.IsOfEarlierStart(h.now(), b):
		return fault.New(fault.NotCurrent, "announce again once the later start is silent", "backend server %q started again after start %d", b.ID, b.Born)
	}
	return nil
}

// serves reports whether the document names the service of a backend server. If a later
// document dropped that service, the starts that are known keep their flows, so they are
// served until they end, where they are. At the first start of the deployment there may be
// no document yet, and all services are served. The caller holds mu.
func (h *ControlHost) serves(b catalog.Heartbeat) bool {
	return h.services == nil || h.services[b.Service] || h.catalog.Continues(b)
}

// setServices sets the services that the document names. With the first document of a
// deployment, the backend servers of all other services are gone, which were not
// rejected before. The caller holds mu and notifies the followers.
func (h *ControlHost) setServices(names []string) {
	first := h.services == nil
	h.services = make(map[string]bool, len(names))
	for _, name := range names {
		h.services[name] = true
	}
	if first && h.cfg.FirstStart {
		h.catalog.MarkUnservedGone(h.now(), h.services)
	}
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
