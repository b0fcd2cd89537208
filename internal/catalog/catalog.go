// Package catalog keeps what backend servers announce of themselves: which
// service they serve, where, and whether they take new flows. It is soft state:
// each control host keeps a catalog of what it has heard and of what the others
// have told it. It is pure.
package catalog

import (
	"net/netip"
	"time"
)

// Status tells how far a backend server can be used.
type Status uint8

// The statuses.
const (
	Ready    Status = iota
	Silent          // its heartbeats do not arrive; flows stay, new ones avoid it
	Draining        // it keeps its flows and takes no new ones
	Gone            // it has left, or another one runs at its address
)

var statusNames = [...]string{"ready", "silent", "draining", "gone"}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// Heartbeat is one announcement of a backend server.
type Heartbeat struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	WarmLeft time.Duration // for which it is still slow after its start
	Born     int64         // Unix milliseconds of its start
	Sequence uint64        // grows with each announcement of one start
}

// Record is what the catalog tells others about one backend server.
type Record struct {
	Heartbeat
	Status Status
	Owner  string // control host that heard the latest announcement
}

// supersedes reports whether r tells of a later start or announcement.
func (r *Record) supersedes(old *Record) bool {
	if r.Born != old.Born {
		return r.Born > old.Born
	}
	return r.Sequence > old.Sequence
}

// Times after which the catalog changes its mind, in heartbeat intervals or as
// durations.
const (
	silentAfterBeats = 2.5              // missed heartbeats that make a backend server silent
	goneAfter        = 90 * time.Second // longer than any flow
	lateTick         = time.Second      // a longer pause between ticks means that this host stood still
)

// Config holds the parameters of a catalog.
type Config struct {
	Self     string        // name of this control host
	Interval time.Duration // of heartbeats
}

// entry is a record with what only this host knows of it.
type entry struct {
	Record
	heardAt  time.Duration // when this host last got news of it
	revision uint64        // at which the record changed last
	from     string        // control host that told of that change, empty if heard here
}

// Catalog is the set of known backend servers. It is not safe for concurrent
// use.
type Catalog struct {
	cfg      Config
	entries  map[string]*entry
	revision uint64
	tickedAt time.Duration
	inTouch  map[string]bool          // control hosts that tell of their own backend servers
	lost     map[string]time.Duration // control hosts that did so, and since when they do not
}

// New returns an empty catalog.
func New(cfg Config) *Catalog {
	return &Catalog{cfg: cfg, entries: map[string]*entry{}, inTouch: map[string]bool{}, lost: map[string]time.Duration{}}
}

// Revision grows with each change of a record.
func (c *Catalog) Revision() uint64 { return c.revision }

// Hear takes an announcement that a backend server sent to this host. It
// reports whether the announcement changed what others have to know.
func (c *Catalog) Hear(now time.Duration, h Heartbeat) bool {
	status := Ready
	if h.Draining {
		status = Draining
	}
	fresh := Record{Heartbeat: h, Status: status, Owner: c.cfg.Self}
	old := c.entries[h.ID]
	if old == nil {
		return c.admit(now, fresh, "")
	}
	if !fresh.supersedes(&old.Record) {
		return false // late or repeated
	}
	fresh.Status = later(&old.Record, &fresh)
	return c.replace(now, old, fresh, "")
}

// later returns the status of a backend server after a later announcement.
// Within one start, draining is never taken back. One that was taken for gone
// but goes on announcing itself as ready was named by a late call of an earlier
// start with the same id.
func later(old, fresh *Record) Status {
	switch {
	case old.Born != fresh.Born:
		return fresh.Status
	case old.Status == Draining:
		return max(Draining, fresh.Status)
	case old.Status == Gone && fresh.Status == Draining:
		return Gone
	}
	return fresh.Status
}

// Leave notes that a backend server has ended. A born of 0 means the start that
// is known.
func (c *Catalog) Leave(now time.Duration, id string, born int64) bool {
	old := c.entries[id]
	if old == nil || old.Status == Gone || born != 0 && born != old.Born {
		return false
	}
	fresh := old.Record
	fresh.Status, fresh.Owner = Gone, c.cfg.Self
	fresh.Sequence++
	return c.replace(now, old, fresh, "")
}

// admit adds an unknown backend server. Of two at one address only the one that
// was started last runs.
func (c *Catalog) admit(now time.Duration, r Record, from string) bool {
	if r.Status != Gone {
		for _, other := range c.entries {
			if other.Address != r.Address || other.Status == Gone {
				continue
			}
			if other.Born > r.Born {
				r.Status = Gone
				break
			}
			c.markGone(now, other)
		}
	}
	c.entries[r.ID] = &entry{Record: r, heardAt: now, revision: c.next(), from: from}
	return true
}

func (c *Catalog) markGone(now time.Duration, e *entry) {
	e.Status, e.heardAt, e.revision, e.from = Gone, now, c.next(), ""
}

// replace takes a record in place of an older one. It reports whether others have to know.
func (c *Catalog) replace(now time.Duration, old *entry, fresh Record, from string) bool {
	revived := old.Status == Gone && fresh.Status != Gone
	if revived || fresh.Address != old.Address || fresh.Born != old.Born {
		delete(c.entries, fresh.ID)
		return c.admit(now, fresh, from)
	}
	same := old.Status == fresh.Status && old.Owner == fresh.Owner && old.Service == fresh.Service &&
		old.Slots == fresh.Slots && old.Zone == fresh.Zone
	old.Record, old.heardAt = fresh, now
	if same {
		return false
	}
	old.revision, old.from = c.next(), from
	return true
}

func (c *Catalog) next() uint64 {
	c.revision++
	return c.revision
}

// Merge takes records of another control host. It reports whether any changed
// this catalog.
func (c *Catalog) Merge(now time.Duration, from string, records []Record) bool {
	changed := false
	for _, r := range records {
		changed = c.mergeOne(now, from, r) || changed
	}
	return changed
}

func (c *Catalog) mergeOne(now time.Duration, from string, r Record) bool {
	old := c.entries[r.ID]
	switch {
	case old == nil:
		return c.admit(now, r, from)
	case r.supersedes(&old.Record):
		r.Status = later(&old.Record, &r)
		return c.replace(now, old, r, from)
	case old.supersedes(&r):
		return false
	case r.Status == Silent || old.Status == Silent && r.Status == Ready:
		if r.Status != old.Status && old.Status < Draining && (from == r.Owner || !c.inTouch[r.Owner]) {
			return c.replace(now, old, r, from) // the owner knows best
		}
	case r.Status > old.Status:
		return c.replace(now, old, r, from)
	}
	return false
}

// Reachable notes whether another control host is in touch.
func (c *Catalog) Reachable(now time.Duration, host string, reachable bool) {
	switch {
	case reachable:
		c.inTouch[host] = true
		delete(c.lost, host)
	case c.inTouch[host]:
		delete(c.inTouch, host)
		c.lost[host] = now
	}
}

// Tick finds backend servers that fell silent. It reports whether any record
// changed.
func (c *Catalog) Tick(now time.Duration) bool {
	pause := now - c.tickedAt
	c.tickedAt = now
	if pause > lateTick {
		c.forgive(pause)
	}
	c.Forget(now)
	before := c.revision
	for _, e := range c.entries {
		if e.Status == Ready && c.quiet(now, e) > c.silentAfter() {
			e.Status, e.revision, e.from = Silent, c.next(), ""
		}
	}
	return c.revision != before
}

// Forget drops backend servers of which nothing was heard for longer than any
// flow lasts. Hosts that hear no heartbeats call it in place of Tick.
func (c *Catalog) Forget(now time.Duration) {
	for id, e := range c.entries {
		if e.Status >= Silent && now-e.heardAt > goneAfter {
			delete(c.entries, id)
		}
	}
}

// forgive moves all times on: this host was not there to hear.
func (c *Catalog) forgive(pause time.Duration) {
	for _, e := range c.entries {
		e.heardAt += pause
	}
	for host := range c.lost {
		c.lost[host] += pause
	}
}

func (c *Catalog) silentAfter() time.Duration {
	return time.Duration(silentAfterBeats * float64(c.cfg.Interval))
}

// quiet returns for how long nobody has heard a backend server, as far as this
// host can tell. While its owner is in touch, the owner tells.
func (c *Catalog) quiet(now time.Duration, e *entry) time.Duration {
	if e.Owner == c.cfg.Self {
		return now - e.heardAt
	}
	if c.inTouch[e.Owner] {
		return 0
	}
	return now - max(c.lost[e.Owner], e.heardAt)
}

// Since returns the records that changed after a revision, but those that the
// named host told itself.
func (c *Catalog) Since(revision uint64, but string) []Record {
	var records []Record
	for _, e := range c.entries {
		if e.revision > revision && (but == "" || e.from != but) {
			records = append(records, e.Record)
		}
	}
	return records
}
