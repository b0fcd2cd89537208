package fleet

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
)

var (
	_ feed.Source = (*ControlHost)(nil)
	_ feed.Sink   = (*ControlHost)(nil)
)

// Greeting returns the update that identifies this host.
func (h *ControlHost) Greeting() feed.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return feed.Update{From: h.info, Peers: slices.Collect(maps.Values(h.peers)), Current: h.current}
}

// Position returns the cursor of a follower that has received everything.
func (h *ControlHost) Position(to feed.HostInfo) feed.Cursor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.position(to)
}

func (h *ControlHost) position(to feed.HostInfo) feed.Cursor {
	position := feed.Cursor{Peers: h.peersRevision, Current: h.current, Started: true}
	if to.Control { // control hosts get the document from the log, and place no flows
		position.Revision, position.Followers = h.catalog.Revision(), h.followersPosition()
		position.Demands = h.zones.demandsRevision
		if to.Zone == h.info.Zone {
			position.Samples = h.shares.batches
		}
		return position
	}
	position.Revision, position.Version, position.Suspects = h.steeringPosition(), h.version, h.suspects.revision
	position.Levels, position.Evacuations, position.Plan = h.levelsPosition(), h.orders.position(), h.zones.planRevision
	return position
}

// Next returns the update for a follower that has received everything up to the
// cursor after, and the new cursor. It returns false if the follower is up to date.
func (h *ControlHost) Next(to feed.Hello, after feed.Cursor) (feed.Update, feed.Cursor, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := h.position(to.From)
	if next == after {
		return feed.Update{}, after, false
	}
	u := feed.Update{Current: h.current}
	if !after.Started {
		u.From = h.info
	}
	if next.Peers != after.Peers || !after.Started {
		u.Peers = slices.Collect(maps.Values(h.peers))
	}
	if to.From.Control {
		u.Records = h.catalog.Since(after.Revision, to.From.Addr)
		if next.Followers != after.Followers {
			own := h.entryHosts.ownList()
			u.Followers = &own
		}
		if next.Demands != after.Demands {
			u.Demands, u.HasDemands = h.zones.demands, true
		}
		if next.Samples != after.Samples && after.Started {
			u.Samples = h.shares.forwarded
		}
		return u, next, true
	}
	u.Records = h.catalog.SteeringSince(after.Revision)
	if after.Started { // a new follower would treat earlier suspects as new
		u.Suspects = h.suspects.since(after.Suspects)
	}
	if next.Levels != after.Levels || len(u.Records) > 0 && h.features.Pace {
		h.levelsRevision() // records after the published position come with their shares
		u.Levels = h.shares.pool.Since(after.Levels)
	}
	if next.Plan != after.Plan {
		u.Plan, u.Refusals, u.HasPlan = h.zones.plan, h.zones.refusals, true
	}
	if next.Evacuations != after.Evacuations {
		u.Evacuations = h.orders.message(h.now())
	}
	if next.Version != after.Version {
		u.Document, u.Delta = h.documents.next(after.Version, to.Deltas)
	}
	return u, next, true
}

// Changed returns a channel that is closed at the next change for followers.
func (h *ControlHost) Changed() <-chan struct{} { return h.changes.next() }

// FollowerChanged handles a follower that connected or disconnected.
func (h *ControlHost) FollowerChanged(follower feed.HostInfo, connected bool) {
	if follower.Control && connected {
		h.controlHosts.recordFollower(follower)
	}
	if !follower.Control {
		h.recordEntryHosts(follower)
		if h.entryHosts.followerChanged(follower, connected) && !h.features.FastStart { // else tick notifies
			h.changes.notify()
		}
	}
	h.log.Event("follower", "a follower connected or disconnected", eventlog.Fields{
		"follower": follower.Name, "address": follower.Addr, "control": follower.Control, "connected": connected,
	})
}

// Reported passes the suspects in an entry host's report to the other entry hosts
// that follow this host, and takes its samples of answers.
func (h *ControlHost) Reported(follower feed.HostInfo, r feed.Report) {
	h.mu.Lock()
	h.suspects.add(follower.Addr, r.Suspects)
	h.addSamples(follower, r)
	h.mu.Unlock()
	if len(r.Suspects) > 0 {
		h.changes.notify()
	}
}

// FrameFailed handles a message from or to the host at addr that could not be decoded
// or encoded.
func (h *ControlHost) FrameFailed(addr string, err error) {
	recordBadFrame(h.metrics, h.log, addr, err)
}

// ConnectionChanged handles a followed control host that connected or
// disconnected.
func (h *ControlHost) ConnectionChanged(addr string, connected bool) {
	h.mu.Lock()
	h.catalog.SetConnected(h.now(), addr, connected)
	if !connected {
		delete(h.peers, addr)
		h.peersRevision++
		h.entryHosts.setRemote(addr, nil)
		h.zones.planner.Forget(addr)
	}
	h.mu.Unlock()
	h.log.Event("peer", "a followed control host connected or disconnected", eventlog.Fields{"address": addr, "connected": connected})
	h.changes.notify()
}

// Updated handles an update from another control host.
func (h *ControlHost) Updated(addr string, u feed.Update) {
	h.controlHosts.recordUpdate(addr, u)
	h.mu.Lock()
	changed := h.catalog.Merge(h.now(), addr, u.Records)
	if u.HasDemands {
		h.zones.planner.Receive(h.now(), addr, u.Demands)
	}
	h.receiveForwarded(u.Samples)
	if u.Followers != nil {
		h.entryHosts.setRemote(addr, *u.Followers)
		h.recordEntryHosts(*u.Followers...)
	}
	if u.From.Addr != "" {
		h.peers[addr] = u.From
		h.peersRevision++
		changed = true
	}
	h.mu.Unlock()
	if changed {
		h.changes.notify()
	}
}

// watchReplica notifies followers of each new document and of each order about a zone.
func (h *ControlHost) watchReplica() {
	for {
		changed := h.replica.Changed()
		if d := h.document(); d != nil && h.setDocument(d) {
			h.log.Event("version", "a new document is in force", eventlog.Fields{"version": d.Version})
			h.changes.notify()
		}
		h.noteEvacuations(false)
		select {
		case <-changed:
		case <-h.ctx.Done():
			return
		}
	}
}

// setDocument makes a document available to followers. It returns false if it is
// the current one.
func (h *ControlHost) setDocument(d *document.Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Version == h.version {
		return false
	}
	h.version = d.Version
	h.setServices(d.Services)
	h.cold.document = d
	h.releaseEarly()
	h.documents.add(d.ForFollowers())
	return true
}

// loop does the periodic work until the host stops.
func (h *ControlHost) loop() {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		h.controlHosts.reconcile(allHosts)
		h.tick()
		h.saveEntriesHint()
		h.manageMembers()
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// allHosts selects all known hosts, since control hosts follow each other.
func allHosts(known []candidate) map[string]bool {
	selected := map[string]bool{}
	for _, k := range known {
		selected[k.addr] = true
	}
	return selected
}

// tick updates the catalog and the quorum state, and saves the hint file if that
// is due.
func (h *ControlHost) tick() {
	current := h.host.Status().Current
	h.mu.Lock()
	h.early.expire(h.now())
	changed := h.catalog.Tick(h.now()) || current != h.current
	changed = h.admitOwned() || changed
	changed = h.publishFollowers() || changed
	quorumChanged := current != h.current
	h.current = current
	var records []catalog.Record
	revision := h.catalog.Revision()
	hintDue := h.isHintDue(revision)
	if hintDue {
		records = h.catalog.Since(0, "")
	}
	changed = h.tickShares() || changed
	h.mu.Unlock()
	if hintDue {
		h.hint.save(revision, records)
	}
	if quorumChanged {
		h.log.Event("quorum", "gained or lost contact with a quorum of control hosts", eventlog.Fields{"current": current})
	}
	if changed {
		h.changes.notify()
	}
}
