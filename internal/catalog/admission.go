package catalog

import (
	"time"

	"greengagequay/internal/warmup"
)

const (
	// warmthTolerance is the difference between two reports about the end of one
	// warm-up that is attributed to the time that the heartbeats took.
	warmthTolerance = 250 * time.Millisecond
	// warmupGap is the time without being cold after which a backend server that is cold
	// again begins another warm-up. Until then it keeps its admission, since hosts that
	// were paused may only now learn of the earlier one.
	warmupGap = 10 * time.Second
	// admissionRetention is how long an admission is sent with the record of a backend
	// server that is not cold as far as this host knows. The order that ended an
	// evacuation may reach this host later than the admission.
	admissionRetention = 60 * time.Second
	// disconnectedAfter is how long none of the admitted hosts must be connected before
	// others are admitted. Hosts that lose their control host connect to another one
	// within this time.
	disconnectedAfter = 500 * time.Millisecond
)

// admissionState is what this host knows about the warm-up of a backend server besides
// its record.
type admissionState struct {
	zoneColdUntil  time.Duration // when the warm-up after the evacuation of its zone ends
	outdated       bool          // whether the admission belongs to an earlier warm-up
	admittedAt     time.Duration // when the admission was received or made
	disconnected   bool          // whether no admitted host is connected
	disconnectedAt time.Duration // since when, if disconnected is set
}

// coldUntil returns when the latest warm-up of a backend server ends or ended.
func (e *entry) coldUntil() time.Duration { return max(e.ColdUntil, e.zoneColdUntil) }

// sameStart reports whether two records are of one start of a backend server.
func (r *Record) sameStart(other *Record) bool { return r.Born == other.Born && r.Epoch == other.Epoch }

// updateWarmth sets Record.ColdUntil and the admission of a record that takes the place
// of another one of the same start. It reports whether entry hosts must know the
// change: the backend server became cold or warm, or stays cold for longer. They
// count down a shrinking WarmLeft themselves.
func (c *Catalog) updateWarmth(now time.Duration, old *entry, fresh *Record) bool {
	if !c.cfg.ColdBound {
		fresh.Admission = old.Admission
		return false
	}
	if fresh.sameStart(&old.Record) {
		c.keepAdmission(now, old, fresh)
	}
	until := now + fresh.WarmLeft
	switch {
	case fresh.WarmLeft <= 0:
		fresh.ColdUntil = min(old.ColdUntil, now)
		return old.WarmLeft > 0
	case old.WarmLeft > 0 && until <= old.ColdUntil+warmthTolerance:
		fresh.ColdUntil = min(old.ColdUntil, until)
		return false
	}
	fresh.ColdUntil = until
	old.beginWarmup(now)
	return true
}

// keepAdmission gives a record the admission of the one that it replaces, unless its own
// one is later.
func (c *Catalog) keepAdmission(now time.Duration, old *entry, fresh *Record) {
	latest := warmup.Latest(old.Admission, fresh.Admission)
	switch {
	case latest != old.Admission:
		old.admissionState = admissionState{zoneColdUntil: old.zoneColdUntil, admittedAt: now}
	case fresh.Admission != nil && fresh.Admission.NamesHosts() && fresh.Admission.Generation == latest.Generation:
		old.outdated, old.admittedAt = false, now // the sender takes it for that of the present warm-up
	}
	fresh.Admission = latest
}

// beginWarmup handles a backend server that is cold from now on, before the new end of
// its warm-up is set.
func (e *entry) beginWarmup(now time.Duration) {
	if e.Admission != nil && now > e.coldUntil()+warmupGap && now > e.admittedAt+warmupGap {
		e.outdated = true
	}
}

// setColdUntil sets Record.ColdUntil of a backend server that is new to this host or
// started again.
func (c *Catalog) setColdUntil(now time.Duration, r *Record) {
	if c.cfg.ColdBound && r.WarmLeft > 0 {
		r.ColdUntil = now + r.WarmLeft
	}
}

// mergeAdmission adopts the admission in a record from another control host whose other
// fields may be older than the known ones. It reports whether it made a change.
func (c *Catalog) mergeAdmission(now time.Duration, from string, r Record) bool {
	e := c.entries[r.ID]
	if !c.cfg.ColdBound || e == nil || !e.sameStart(&r) {
		return false
	}
	latest := warmup.Latest(e.Admission, r.Admission)
	if latest == e.Admission {
		return false
	}
	if latest != r.Admission {
		from = "" // the sender must know that the two differ
	}
	c.setAdmission(now, e, latest, from)
	return true
}

func (c *Catalog) setAdmission(now time.Duration, e *entry, a *warmup.Admission, from string) {
	e.Admission, e.admissionState = a, admissionState{zoneColdUntil: e.zoneColdUntil, admittedAt: now}
	c.recordChange(e, from)
}

// outgoing returns the record of an entry as control hosts get it: with the rest of the
// warm-up, and only the generation of an admission that is no longer needed. On an entry
// host it is the record as it is used for steering.
func (c *Catalog) outgoing(e *entry) Record {
	r := e.Record
	if !c.cfg.ColdBound {
		return r
	}
	isNeeded := !e.outdated
	if c.cfg.Self != "" {
		if r.WarmLeft > 0 {
			r.WarmLeft = max(0, r.ColdUntil-c.lastTick)
		}
		isCold := c.lastTick < e.coldUntil()
		isNeeded = isNeeded && (isCold || c.lastTick <= e.admittedAt+admissionRetention)
	}
	if r.Admission != nil && !isNeeded {
		r.Admission = r.Admission.Past()
	}
	return r
}

// outgoingForSteering returns the record of an entry as entry hosts get it: like outgoing,
// without an admission that names no hosts.
func (c *Catalog) outgoingForSteering(e *entry) Record {
	r := c.outgoing(e)
	if r.Admission != nil && !r.Admission.NamesHosts() {
		r.Admission = nil
	}
	return r
}

// StartZoneWarmup records that the backend servers of a zone are cold since they get
// flows again after an evacuation, each for as long as warmupOf returns for its
// service.
func (c *Catalog) StartZoneWarmup(now time.Duration, zone string, warmupOf func(service string) time.Duration) {
	for _, e := range c.entries {
		if e.Zone != zone || e.Status == Gone {
			continue
		}
		if d := warmupOf(e.Service); d > 0 {
			e.beginWarmup(now)
			e.zoneColdUntil = max(e.zoneColdUntil, now+d)
		}
	}
}

// ColdService holds what a document and the settings say about cold backend servers of
// a service.
type ColdService struct {
	PerSecond int           // bound, 0 for none
	Warmup    time.Duration // how long a backend server is cold after its start
}

// EntryHosts provides the entry hosts that are connected to any control host.
type EntryHosts interface {
	All() []warmup.Host
	AnyConnected(addrs []string) bool
}

// ColdOwned returns the ids of the backend servers that are cold and whose latest
// announcement this host received.
func (c *Catalog) ColdOwned(now time.Duration) []string {
	var ids []string
	for id, e := range c.entries {
		if c.ownsCold(now, e) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Catalog) ownsCold(now time.Duration, e *entry) bool {
	return e.Owner == c.cfg.Self && e.Status < Draining && now < e.coldUntil()
}

// Admit assigns entry hosts to a backend server if it is cold, this host owns it, and
// it has no admission for this warm-up. It assigns others, once in a warm-up, if none
// of the assigned ones has been connected for a while. It returns the admission that it
// made, or nil; the caller then tells followers.
func (c *Catalog) Admit(now time.Duration, id string, service ColdService, hosts EntryHosts) *warmup.Admission {
	e := c.entries[id]
	if e == nil || service.PerSecond <= 0 || !c.ownsCold(now, e) {
		return nil
	}
	first := e.Admission == nil || e.outdated || !e.Admission.NamesHosts()
	if !first && !c.needsOthers(now, e, hosts) {
		return nil
	}
	a := warmup.Assign(e.ID, e.Zone, hosts.All(), service.PerSecond)
	if len(a.Hosts) == 0 {
		return nil // none is connected; Admit is called again
	}
	a.Generation = 1
	if e.Admission != nil {
		a.Generation += e.Admission.Generation
	}
	a.Final = !first || !warmup.HasSpare(service.PerSecond) || c.mayHaveOther(now, e, service)
	c.setAdmission(now, e, &a, "")
	return &a
}

// needsOthers reports whether none of the assigned hosts has been connected for a while
// and others may be assigned.
func (c *Catalog) needsOthers(now time.Duration, e *entry, hosts EntryHosts) bool {
	if e.Admission.Final || hosts.AnyConnected(e.Admission.Hosts) {
		e.disconnected = false
		return false
	}
	if !e.disconnected {
		e.disconnected, e.disconnectedAt = true, now
	}
	return now-e.disconnectedAt >= disconnectedAfter
}

// mayHaveOther reports whether an earlier owner may have made an admission in this
// warm-up that this host does not know: the warm-up began before the latest heartbeat.
func (c *Catalog) mayHaveOther(now time.Duration, e *entry, service ColdService) bool {
	return e.coldUntil()-now < service.Warmup-c.cfg.Interval/2
}
