package fleet

import "time"

// With FastStart, a control host tells its followers of changes at common times, so that
// all of them need the same frame. When all processes restart, thousands of backend
// servers announce themselves in one second; each follower that looks at its own time
// would need a frame of its own, and encoding them took longer than the changes came.
const (
	// minPublishInterval is longer than feed.minUpdateInterval, after which a follower is
	// ready for the next frame.
	minPublishInterval = 25 * time.Millisecond
	// publishTimePerFollower keeps the time for writing frames to a fraction of the
	// processor.
	publishTimePerFollower = 100 * time.Microsecond
)

// enablePublishing makes followers learn of changes at common times.
func (h *ControlHost) enablePublishing() {
	h.changes.interval = func() time.Duration {
		return minPublishInterval + time.Duration(h.entryHosts.count())*publishTimePerFollower
	}
	h.changes.publish = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.published, h.publishedLevels = h.catalog.SteeringRevision(), h.levelsRevision()
	}
	h.changes.wake()
}

// publishesTogether reports whether enablePublishing was called.
func (h *ControlHost) publishesTogether() bool { return h.changes.publish != nil }

// steeringPosition returns the revision of the catalog up to which entry hosts are told
// of changes. The caller holds mu.
func (h *ControlHost) steeringPosition() uint64 {
	if !h.publishesTogether() {
		return h.catalog.SteeringRevision()
	}
	return h.published
}

// levelsPosition returns the revision of the shares up to which entry hosts are told of
// changes. The caller holds mu.
func (h *ControlHost) levelsPosition() uint64 {
	if !h.publishesTogether() {
		return h.levelsRevision()
	}
	return h.publishedLevels
}

// followersPosition returns the revision of the list of followers up to which control
// hosts are told of changes. The caller holds mu.
func (h *ControlHost) followersPosition() uint64 {
	if !h.publishesTogether() {
		return h.entryHosts.ownRevision()
	}
	return h.publishedFollowers
}

// publishFollowers makes the present list of followers available to control hosts. It
// reports whether the list has changed. The whole list is sent after each change, so
// this happens once a tick: when all entry hosts connect in a second, each connection
// would else cause a message with all of them to each control host. The caller holds mu.
func (h *ControlHost) publishFollowers() bool {
	if !h.publishesTogether() {
		return false
	}
	revision := h.entryHosts.ownRevision()
	changed := revision != h.publishedFollowers
	h.publishedFollowers = revision
	return changed
}

// count returns the number of entry hosts that follow this control host.
func (e *entryHosts) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.own)
}
