package soak

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"greengagequay/platform/standin"
)

const (
	warmup     = 2 * time.Second // time for which a backend server is cold
	coldWindow = time.Second     // interval in which at most coldSlack flows open
	// admittedFlows is how many flows a second both admissions of a warm-up allow
	// together. An entry host that restarts forgets the flows that it counted, and may
	// open one more.
	admittedFlows = 4
	// informBound is the time from the acknowledgement of a heartbeat until all entry hosts
	// in contact know its content: a tick of a control host and one of an entry host, of
	// 0.25 s each.
	informBound = 500 * time.Millisecond
)

// warmth holds when a backend server is cold, and the flows that it opened meanwhile.
type warmth struct {
	from, until time.Time
	again       bool      // it ran before it became cold
	excluded    bool      // again: entry hosts in contact knew that its zone is evacuated
	reportedAt  time.Time // when a control host first acknowledged a heartbeat that reports it
	openings    []coldOpening
}

// coldOpening is a flow that a cold backend server accepted or refused.
type coldOpening struct {
	at    time.Time
	entry *process
}

func (w *warmth) begin(now time.Time) {
	*w = warmth{from: now, until: now.Add(warmup)}
}

func (w *warmth) left(now time.Time) time.Duration { return max(0, w.until.Sub(now)) }

// coolZone makes the backend servers of a zone cold, just before the end of its
// evacuation. known is whether entry hosts in contact know of the evacuation.
func (f *backends) coolZone(zone int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.alive {
		if b.zone == zone {
			b.mu.Lock()
			// A backend server that is still cold after its start becomes cold while it
			// runs, too: entry hosts that are cut off know its first warm-up only.
			b.warmth.begin(time.Now())
			b.warmth.again, b.warmth.excluded = true, known
			b.mu.Unlock()
		}
	}
}

// recordColdAck records when a control host has acknowledged for the first time that the
// backend server is cold.
func (b *backend) recordColdAck(announcement standin.Heartbeat, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status == http.StatusOK && announcement.WarmMs > 0 && b.warmth.reportedAt.IsZero() {
		b.warmth.reportedAt = time.Now()
	}
}

// checkCold checks the bound for the new flows of a cold backend server, over all entry
// hosts. The caller holds mu.
func (b *backend) checkCold(now time.Time, entry netip.Addr) {
	if b.warmth.left(now) == 0 {
		return
	}
	b.soak.checks.openedCold()
	host := b.soak.entryAt(entry)
	if host == nil {
		b.soak.checks.addViolation("backend %s got a new flow from %v, which is no entry host", b.id, entry)
		return
	}
	if b.warmth.again && b.soak.mayNotKnow(host, now, &b.warmth) {
		return
	}
	b.warmth.openings = append(b.warmth.openings, coldOpening{now, host})
	b.warmth.openings = slices.DeleteFunc(b.warmth.openings, func(o coldOpening) bool { return now.Sub(o.at) > coldWindow })
	restarts := 0
	for _, e := range b.soak.entries {
		if e.startedSince(now.Add(-coldWindow)) {
			restarts++
		}
	}
	if len(b.warmth.openings) > max(coldSlack, admittedFlows+restarts) {
		var from []string
		for _, o := range b.warmth.openings {
			from = append(from, o.entry.name)
		}
		b.soak.checks.addViolation("backend %s, cold since %v, got %d new flows within %v, from %v",
			b.id, now.Sub(b.warmth.from).Round(time.Millisecond), len(from), coldWindow, from)
	}
}

// entryAt returns the entry host with an address, or nil.
func (s *soak) entryAt(addr netip.Addr) *process {
	for _, e := range s.entries {
		if s.layout.ip(e.number) == addr.String() {
			return e
		}
	}
	return nil
}

// mayNotKnow reports whether an entry host may not know yet that a running backend server
// became cold. That is so for settleBound after a fault of the entry host, of a control
// host, or of a link of these. It is also so until a heartbeat reported it and informBound
// has passed, unless the entry host knows of the evacuation: then it uses the backend
// server only once it knows of the end, and thereby that the backend server is cold.
func (s *soak) mayNotKnow(entry *process, now time.Time, w *warmth) bool {
	if !w.excluded && (w.reportedAt.IsZero() || now.Sub(w.reportedAt) < informBound) {
		return true
	}
	since := now.Add(-settleBound)
	disturbed := entry.disturbedSince(since)
	for _, p := range s.controls {
		disturbed = disturbed || p.disturbedSince(since)
	}
	for pair, k := range s.network.links {
		concerned := pair[0] == entry.number || pair[0] < len(s.controls)
		disturbed = disturbed || concerned && k.changedAt.Load() > since.UnixNano()
	}
	return disturbed
}
