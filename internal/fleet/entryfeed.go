package fleet

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/steering"
)

var _ feed.Sink = (*EntryHost)(nil)

// FrameFailed handles a message of a control host that could not be decoded.
func (h *EntryHost) FrameFailed(addr string, err error) {
	recordBadFrame(h.metrics, h.log, addr, err)
}

// ConnectionChanged handles a followed control host that connected or
// disconnected.
func (h *EntryHost) ConnectionChanged(addr string, connected bool) {
	h.mu.Lock()
	h.catalog.SetConnected(h.now(), addr, connected)
	if !connected {
		delete(h.documents, addr)
		h.levels.drop(addr, h.steerer.SetShare)
		if h.plans.drop(addr) {
			h.applyPlan()
		}
	}
	h.mu.Unlock()
	h.log.Event("peer", "a followed control host connected or disconnected", eventlog.Fields{"address": addr, "connected": connected})
}

// Updated handles an update from a control host.
func (h *EntryHost) Updated(addr string, u feed.Update) {
	h.applyUpdate(addr, u)
	h.controlHosts.recordUpdate(addr, u)
}

// applyUpdate puts an update in force.
func (h *EntryHost) applyUpdate(addr string, u feed.Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !u.IsGreeting() {
		h.lastUpdateAt = h.now()
	}
	for _, x := range u.Suspects {
		if x.Reporter != h.cfg.feedAddr() { // a suspicion of its own is known already
			h.steerer.AddSuspicion(h.now(), x.ID, x.Born)
		}
	}
	if h.features.Pace {
		h.levels.receive(addr, u.Levels, h.steerer.SetShare)
		if h.plans.receive(addr, h.cfg.Zone, u) {
			h.applyPlan()
		}
	}
	hasNewOrders := h.receiveEvacuations(addr, u.Evacuations)
	changed := h.catalog.Merge(h.now(), addr, u.Records)
	if d := h.receiveDocument(addr, u); d != nil && d.Version > h.steerer.Table().Version {
		h.buildTable(func(servers []catalog.Record) *steering.Table { return steering.Build(d, servers) })
		h.log.Event("version", "a new document is in force", eventlog.Fields{"version": d.Version, "from": addr})
	} else if changed && hasNewOrders {
		h.buildTable(h.steerer.Table().WithServers) // with the admissions that belong to the end of an evacuation
	} else if changed {
		h.updateServers()
	}
	if changed {
		h.logBackends(addr, u.Records)
	}
}

// updateServers builds a table with the known backend servers, now or as soon as
// the pacer allows. The caller holds mu.
func (h *EntryHost) updateServers() {
	if h.rebuildSet {
		return
	}
	if delay := h.pacer.delay(h.now()); delay > 0 {
		h.rebuildSet = true
		time.AfterFunc(delay, h.updateServersLater)
		return
	}
	h.buildTable(h.steerer.Table().WithServers)
}

// updateServersLater builds the table that updateServers put off.
func (h *EntryHost) updateServersLater() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rebuildSet = false
	h.buildTable(h.steerer.Table().WithServers)
}

// buildTable puts a new table in force. The caller holds mu.
func (h *EntryHost) buildTable(build func(servers []catalog.Record) *steering.Table) {
	began := h.now()
	h.steerer.SetTable(began, build(h.catalog.Since(0, "")))
	h.flows.setTable(began, h.steerer.Table())
	h.pacer.record(began, h.now())
	h.checkHeld()
}

// receiveDocument returns the document that an update of a control host leads to,
// or nil if the update has none. A delta applies to the last document of the same
// control host; if it does not fit, the host is connected to anew and sends the
// whole document.
func (h *EntryHost) receiveDocument(addr string, u feed.Update) *document.Document {
	d := u.Document
	if u.Delta != nil {
		base, ok := h.documents[addr]
		if ok {
			d, ok = base.Apply(u.Delta)
		}
		if !ok {
			h.log.Event("peer", "a delta does not fit the last document; connecting again", eventlog.Fields{"address": addr, "from": u.Delta.From})
			h.controlHosts.disconnect(addr)
			return nil
		}
	}
	if d != nil {
		h.documents[addr] = d
	}
	return d
}

// logBackends logs received records of backend servers.
func (h *EntryHost) logBackends(from string, records []catalog.Record) {
	for _, r := range records {
		if !h.log.Allow("backend") {
			continue
		}
		h.log.Write("backend", "received a record of a backend server", eventlog.Fields{
			"backend": r.ID, "service": r.Service, "status": r.Status.String(), "sequence": r.Sequence,
			"born": r.Born, "from": from, "owner": r.Owner,
		})
	}
}
