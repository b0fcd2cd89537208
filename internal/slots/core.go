package slots

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// Core is one host's state of the slots of one backend server incarnation: the
// grants that this host uses and, if it is the home, all slots. It is not safe
// for concurrent use.
type Core struct {
	self         string // process name
	since        int64  // time from which the table has listed the process without a gap, microseconds since 1970
	marks        fence.Marks
	running      map[string]time.Time // attempts this host sent to the backend server, with the latest time each can end
	home         *home                // nil unless this host claims to be the home
	openedEpoch  fence.Epoch          // latest epoch under which this host served as the home, 0 for none
	refusedEpoch fence.Epoch          // highest epoch of a claim that a host preferred to this host's claim
	former       formerHome
}

// formerHome is the final state of a home that this host no longer is.
type formerHome struct {
	epoch fence.Epoch
	held  map[string]hold
}

// New returns the core of a process.
func New(self string, since int64) *Core {
	return &Core{self: self, since: since, running: map[string]time.Time{}}
}

// Home returns the process with the newest claim on the slots known to this
// host, empty if none is known.
func (c *Core) Home() string { return c.marks.Last().Home }

// Start records that this host sends an attempt to the backend server. The claim
// is the one under which the home granted the slot. Start returns false if the
// grant is no longer valid; the attempt must then not be sent.
func (c *Core) Start(attempt string, claim fence.Mark, deadline, now time.Time) bool {
	if !c.marks.Allows(claim.Epoch) || !now.Before(deadline) {
		return false
	}
	c.marks.Advance(claim) // a host that was not yet listed when the claim was made may learn of it here
	c.running[attempt] = deadline.Add(CancelGrace)
	return true
}

// End records that an attempt no longer runs at the backend server.
func (c *Core) End(attempt string) { delete(c.running, attempt) }

// Fence accepts a claim and returns this host's report. From then on the host
// uses no grant of an older epoch. Fence returns false if this host knows another
// claim of the same or a newer epoch.
func (c *Core) Fence(claim fence.Mark, now time.Time) (Report, bool) {
	if !c.marks.Advance(claim) {
		return Report{}, false
	}
	if c.home != nil && c.home.epoch < claim.Epoch {
		c.closeHome()
	}
	r := Report{Report: fence.Report{Host: c.self, Marks: c.marks.Before(claim.Epoch), Opened: c.openedEpoch, Since: c.since}}
	for attempt, until := range c.running {
		r.Running = append(r.Running, Hold{Attempt: attempt, Holder: c.self, Remaining: until.Sub(now)})
	}
	r.Served = c.former.epoch
	for attempt, h := range c.former.held {
		r.Held = append(r.Held, Hold{Attempt: attempt, Holder: h.holder, Remaining: h.until.Sub(now)})
	}
	sortHolds(r.Running)
	sortHolds(r.Held)
	return r, true
}

// closeHome ends this host's claim. If the home was open, its final state is kept
// for the next home's takeover.
func (c *Core) closeHome() {
	if c.home.open {
		c.former = formerHome{epoch: c.home.epoch, held: c.home.held}
	}
	c.home = nil
}

func sortHolds(holds []Hold) {
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// Rejoin records that the table lists this host from now on, for the first time
// or again. While it was not listed, other homes may have granted slots, so this
// host's state as a home may be incomplete and is discarded.
func (c *Core) Rejoin(now time.Time) {
	c.home, c.former, c.since = nil, formerHome{}, now.UnixMicro()
}

// Claim starts the takeover of the slots by this host as their home. hosts are
// the entry hosts that must report. initialProcesses are their processes if no
// other process has ever been an entry host, else nil. born is the start of the
// backend server in microseconds since 1970. Claim returns false if a claim of
// this or a newer epoch is known.
func (c *Core) Claim(e fence.Epoch, born int64, hosts, initialProcesses []string, p Params, now time.Time) bool {
	if e <= max(c.marks.Last().Epoch, c.refusedEpoch) {
		return false
	}
	if c.home != nil {
		c.closeHome()
	}
	c.home = newHome(c.self, e, fence.NewTakeover(e, born, hosts, initialProcesses), p, now)
	return true
}

// ClaimEpoch returns the epoch of this host's claim, 0 if it has none.
func (c *Core) ClaimEpoch() fence.Epoch {
	if c.home == nil {
		return 0
	}
	return c.home.epoch
}

// HasCurrentClaim reports whether this host has a claim and knows of no newer one.
func (c *Core) HasCurrentClaim() bool {
	return c.home != nil && c.home.epoch >= c.marks.Last().Epoch && c.home.epoch > c.refusedEpoch
}

// ClaimRefused records that a host refused this host's claim in favor of a claim
// of epoch e.
func (c *Core) ClaimRefused(e fence.Epoch) { c.refusedEpoch = max(c.refusedEpoch, e) }

// Resign gives up the claim and returns the attempts that were in the queue. The
// final state is kept for the next home's takeover.
func (c *Core) Resign() (dropped []string) {
	if c.home == nil {
		return nil
	}
	for _, w := range c.home.queue {
		dropped = append(dropped, w.attempt)
	}
	c.closeHome()
	return dropped
}

// MissingReports returns the hosts whose reports the claim still needs.
func (c *Core) MissingReports() []string {
	if c.home == nil || c.home.takeover == nil {
		return nil
	}
	return c.home.takeover.Waiting()
}

// AddReport adds a host's report for this host's claim of epoch e.
func (c *Core) AddReport(host string, e fence.Epoch, r Report, now time.Time) {
	if c.home == nil || c.home.epoch != e || c.home.takeover == nil {
		return
	}
	if c.home.takeover.Add(host, r.Report) {
		c.home.reports = append(c.home.reports, r)
	}
	c.tryOpen(now)
}

// UpdateListed stops waiting for reports of hosts that the table no longer lists.
func (c *Core) UpdateListed(listed func(host string) bool, now time.Time) {
	if c.home == nil || c.home.takeover == nil {
		return
	}
	c.home.takeover.DropUnlisted(listed)
	c.tryOpen(now)
}

func (c *Core) tryOpen(now time.Time) {
	if c.home.tryOpen(now) {
		c.openedEpoch = c.home.epoch
	}
}

// Renew extends the lease under which this host grants slots. sentAt is the
// earliest time at which it sent the claim of epoch e to a host of the quorum that
// accepted it.
func (c *Core) Renew(e fence.Epoch, sentAt time.Time) {
	if c.home != nil && c.home.epoch == e {
		c.home.leaseEnd = sentAt.Add(LeaseDuration)
	}
}

// SetParams sets the limits of the backend server.
func (c *Core) SetParams(p Params) {
	if c.home != nil {
		c.home.params = p
	}
}

// Acquire asks for a slot.
func (c *Core) Acquire(r Request, now time.Time) Answer {
	if c.home == nil || !c.home.mayGrant(now) {
		return Answer{Verdict: NotHome}
	}
	return c.home.acquire(r, now)
}

// Release frees the slot or the place in the queue of an attempt, and returns
// the queued attempts that are now granted a slot.
func (c *Core) Release(attempt string, now time.Time) []string {
	if c.home == nil {
		return nil
	}
	return c.home.release(attempt, now)
}

// Shed stops grants until the given time, at the backend server's request.
func (c *Core) Shed(until time.Time) {
	if c.home != nil && until.After(c.home.shedUntil) {
		c.home.shedUntil = until
	}
}

// Tick frees the slots of attempts that must have ended. It returns the queued
// attempts that are now granted, and those dropped from the queue because their
// deadline passed or this host's lease ended.
func (c *Core) Tick(now time.Time) (granted, dropped []string) {
	if c.home == nil {
		return nil, nil
	}
	c.tryOpen(now)
	return c.home.tick(now)
}

// Epoch returns the epoch of the newest claim on the slots known to this host.
func (c *Core) Epoch() fence.Epoch { return c.marks.Last().Epoch }

// Idle reports whether this host has no claim on the slots and no attempt running
// at the backend server. Once the table no longer lists the backend server, no
// home needs the state of an idle core.
func (c *Core) Idle() bool { return c.home == nil && len(c.running) == 0 }

// Serves reports whether this host may grant slots as their home.
func (c *Core) Serves(now time.Time) bool { return c.home != nil && c.home.mayGrant(now) }
