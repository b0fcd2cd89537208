// Package catalog keeps what backend servers announce: their service, their
// address and whether they take new flows. It is soft state: each control host
// has a catalog of the announcements (heartbeats) that it received and of the
// records that other control hosts sent. Each entry host has a catalog of the
// records that control hosts sent. The package uses no I/O and no clock.
package catalog

import (
	"net/netip"
	"time"
)

// Config holds the parameters of a catalog.
type Config struct {
	Self     string        // name by which other hosts know this control host, empty on an entry host
	Interval time.Duration // interval of heartbeats
	// ColdBound is whether the new flows of cold backend servers are bounded. Without it,
	// entry hosts need not know whether a backend server is cold.
	ColdBound bool
}

// entry is a record with the local state of this host.
type entry struct {
	Record
	updatedAt time.Duration // when this host last received a newer record, or marked it as gone
	revision  uint64        // revision of the last change that other control hosts must know
	from      string        // control host that sent that change, empty if it came from no other control host
	steering  uint64        // revision of the last change that entry hosts must know
	admissionState
}

// Catalog is the set of known backend servers. It is not safe for concurrent
// use.
type Catalog struct {
	cfg            Config
	entries        map[string]*entry
	byAddress      map[netip.AddrPort]*entry // the backend server at each address that is not gone
	revision       uint64
	steering       uint64 // revision of the last change that entry hosts must know
	lastTick       time.Duration
	connected      map[string]bool          // control hosts that this host is connected to
	disconnectedAt map[string]time.Duration // control hosts that this host was connected to, and when the connection ended
}

// New returns an empty catalog.
func New(cfg Config) *Catalog {
	return &Catalog{
		cfg: cfg, entries: map[string]*entry{}, byAddress: map[netip.AddrPort]*entry{},
		connected: map[string]bool{}, disconnectedAt: map[string]time.Duration{},
	}
}

// Revision returns the revision of the catalog, which increases with each change
// that other control hosts must know.
func (c *Catalog) Revision() uint64 { return c.revision }

// SteeringRevision returns the revision of the last change that entry hosts must
// know. They need not know which control host owns a record: after a restart of
// control hosts that changes for all backend servers at once.
func (c *Catalog) SteeringRevision() uint64 { return c.steering }

// ReceiveHeartbeat handles an announcement that a backend server sent to this
// host. It reports whether it made a change that others must know.
func (c *Catalog) ReceiveHeartbeat(now time.Duration, h Heartbeat) bool {
	status := Ready
	if h.Draining {
		status = Draining
	}
	fresh := Record{Heartbeat: h, Status: status, Owner: c.cfg.Self}
	old := c.entries[h.ID]
	if old == nil {
		c.freeAddress(now, h)
		return c.admit(now, fresh, "")
	}
	fresh.Epoch = old.Epoch
	if c.replacesLaterStart(now, old, h) {
		fresh.Epoch++
	}
	if !fresh.supersedes(&old.Record) {
		return false // delayed or repeated
	}
	c.freeAddress(now, h)
	fresh.Status = statusAfter(&old.Record, &fresh)
	return c.replace(now, old, fresh, "")
}

// IsOfEarlierStart reports whether ReceiveHeartbeat ignores an announcement because the
// backend server has started again since.
func (c *Catalog) IsOfEarlierStart(now time.Duration, h Heartbeat) bool {
	known := c.entries[h.ID]
	return known != nil && h.Born < known.Born && !c.replacesLaterStart(now, known, h)
}

// replacesLaterStart reports whether an announcement is of the present start although
// the known one has a higher start time: that one no longer announces itself, so the
// clock was set back between the two.
func (c *Catalog) replacesLaterStart(now time.Duration, known *entry, h Heartbeat) bool {
	return h.Born < known.Born && c.hasStopped(now, known)
}

// admit adds a backend server that is new, restarted, at a new address or no
// longer gone. Of two backend servers at one address, the one that started earlier
// is gone.
func (c *Catalog) admit(now time.Duration, r Record, from string) bool {
	c.setColdUntil(now, &r)
	if other := c.byAddress[r.Address]; other != nil && r.Status != Gone {
		if other.Born > r.Born {
			r.Status = Gone
		} else {
			c.markGone(now, other)
		}
	}
	e := &entry{Record: r, updatedAt: now, admissionState: admissionState{admittedAt: now}}
	c.entries[r.ID] = e
	c.recordChange(e, from)
	if r.Status != Gone {
		c.byAddress[r.Address] = e
	}
	return true
}

// readmit admits a backend server in place of a known one with its id.
func (c *Catalog) readmit(now time.Duration, old *entry, fresh Record, from string) bool {
	known := admissionState{admittedAt: now}
	if fresh.sameStart(&old.Record) {
		c.updateWarmth(now, old, &fresh)
		known = old.admissionState
	}
	c.remove(old)
	changed := c.admit(now, fresh, from)
	c.entries[fresh.ID].admissionState = known
	return changed
}

func (c *Catalog) markGone(now time.Duration, e *entry) {
	c.releaseAddress(e)
	e.Status, e.updatedAt = Gone, now
	c.recordChange(e, "")
}

// releaseAddress frees the address of a backend server that is gone or removed.
func (c *Catalog) releaseAddress(e *entry) {
	if c.byAddress[e.Address] == e {
		delete(c.byAddress, e.Address)
	}
}

func (c *Catalog) remove(e *entry) {
	delete(c.entries, e.ID)
	c.releaseAddress(e)
}

// replace replaces a record by a newer one. It reports whether others must know
// the change.
func (c *Catalog) replace(now time.Duration, old *entry, fresh Record, from string) bool {
	revived := old.Status == Gone && fresh.Status != Gone
	if revived || fresh.Address != old.Address || fresh.Born != old.Born {
		return c.readmit(now, old, fresh, from)
	}
	warmthChanged := c.updateWarmth(now, old, &fresh)
	sameForControl := old.Owner == fresh.Owner && old.Departing == fresh.Departing
	sameForSteering := old.Status == fresh.Status && old.Service == fresh.Service && old.Slots == fresh.Slots && old.Zone == fresh.Zone &&
		old.Admission == fresh.Admission && !warmthChanged
	old.Record, old.updatedAt = fresh, now
	if fresh.Status == Gone {
		c.releaseAddress(old)
	}
	switch {
	case !sameForSteering:
		c.recordChange(old, from)
	case !sameForControl:
		c.recordOwnerChange(old, from)
	default:
		return false
	}
	return true
}

// recordChange records a change that all others must know. from is the control
// host that sent it, or empty.
func (c *Catalog) recordChange(e *entry, from string) {
	c.recordOwnerChange(e, from)
	e.steering, c.steering = c.revision, c.revision
}

// recordOwnerChange records a change that only other control hosts must know.
func (c *Catalog) recordOwnerChange(e *entry, from string) {
	c.revision++
	e.revision, e.from = c.revision, from
}

// Merge merges records from another control host. It reports whether they made a
// change that others must know.
func (c *Catalog) Merge(now time.Duration, from string, records []Record) bool {
	gone := c.mergeIf(now, from, records, func(s Status) bool { return s == Gone }) // frees addresses for the others
	alive := c.mergeIf(now, from, records, func(s Status) bool { return s != Gone })
	return gone || alive
}

// mergeIf merges the records with a status that include accepts.
func (c *Catalog) mergeIf(now time.Duration, from string, records []Record, include func(Status) bool) bool {
	changed := false
	for _, r := range records {
		if include(r.Status) {
			changed = c.mergeOne(now, from, r) || changed
			changed = c.mergeAdmission(now, from, r) || changed
			changed = c.mergeDeparture(&r) || changed
		}
	}
	return changed
}

func (c *Catalog) mergeOne(now time.Duration, from string, r Record) bool {
	old := c.entries[r.ID]
	switch {
	case old == nil:
		return c.admit(now, r, from)
	case r.supersedes(&old.Record):
		r.Status = c.mergedStatus(from, &old.Record, &r)
		return c.replace(now, old, r, from)
	case old.supersedes(&r):
		return c.correctSilence(now, old, from, &r)
	case r.Status == Silent || old.Status == Silent && r.Status == Ready:
		if r.Status != old.Status && old.Status < Draining && c.decidesSilence(from, &r) {
			return c.replace(now, old, r, from)
		}
	case r.Status > old.Status:
		return c.replace(now, old, r, from)
	}
	return false
}
