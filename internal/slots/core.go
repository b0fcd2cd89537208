package slots

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// Core is one host's knowledge of the slots of one run of a backend server:
// as holder of grants, and as home if it is. It is not safe for concurrent
// use.
type Core struct {
	self    string // process name
	since   int64  // when the table first listed the process, microseconds since 1970
	marks   fence.Marks
	running map[string]time.Time // own attempts at the backend server, and when each ends at the latest
	home    *home                // nil unless this host claims to be the home
	opened  fence.Epoch
	outbid  fence.Epoch // newest claim of another process that a host prefers
	former  formerHome
}

// formerHome is the final state of a home that a newer claim closed.
type formerHome struct {
	epoch fence.Epoch
	held  map[string]hold
}

// New returns the core of a process.
func New(self string, since int64) *Core {
	return &Core{self: self, since: since, running: map[string]time.Time{}}
}

// Home returns the process that claims the slots, as this host knows.
func (c *Core) Home() string { return c.marks.Last().Home }

// Start notes that an attempt goes to the backend server on a grant that was
// given under the claim. It reports false if the grant is void; the attempt
// must then not be sent.
func (c *Core) Start(attempt string, claim fence.Mark, deadline, now time.Time) bool {
	if !c.marks.Allows(claim.Epoch) || !now.Before(deadline) {
		return false
	}
	c.marks.Advance(claim) // a host that was listed after the claim learns of it here
	c.running[attempt] = deadline.Add(CancelGrace)
	return true
}

// End notes that an attempt no longer runs at the backend server.
func (c *Core) End(attempt string) { delete(c.running, attempt) }

// Fence takes a claim and reports what this host knows. From then on the host
// uses no grant of an older epoch. It reports false if a newer claim is known.
func (c *Core) Fence(claim fence.Mark, now time.Time) (Report, bool) {
	if !c.marks.Advance(claim) {
		return Report{}, false
	}
	if c.home != nil && c.home.epoch < claim.Epoch {
		c.closeHome()
	}
	r := Report{Report: fence.Report{Host: c.self, Marks: c.marks.Before(claim.Epoch), Opened: c.opened, Since: c.since}}
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

func (c *Core) closeHome() {
	if c.home.open {
		c.former = formerHome{epoch: c.home.epoch, held: c.home.held}
	}
	c.home = nil
}

func sortHolds(holds []Hold) {
	slices.SortFunc(holds, func(a, b Hold) int { return cmp.Compare(a.Attempt, b.Attempt) })
}

// Rejoin notes that the table dropped this host for a time. Other homes may
// have served then without its knowledge, so its records are no longer whole.
func (c *Core) Rejoin(now time.Time) {
	c.home, c.former, c.since = nil, formerHome{}, now.UnixMicro()
}

// Claim starts to take the slots over as their home. hosts are the entry hosts
// that must report, and first their processes if no other process has been an
// entry host before, else nil. born is the start of the backend server in
// microseconds since 1970. It reports false if a newer claim is known.
func (c *Core) Claim(e fence.Epoch, born int64, hosts, first []string, p Params, now time.Time) bool {
	if e <= max(c.marks.Last().Epoch, c.outbid) {
		return false
	}
	if c.home != nil {
		c.closeHome()
	}
	c.home = newHome(c.self, e, fence.NewTakeover(e, born, hosts, first), p, now)
	return true
}

// Claims returns the epoch of this host's claim, 0 if it has none.
func (c *Core) Claims() fence.Epoch {
	if c.home == nil {
		return 0
	}
	return c.home.epoch
}

// Stands reports whether this host has a claim and knows of no newer one.
func (c *Core) Stands() bool {
	return c.home != nil && c.home.epoch >= c.marks.Last().Epoch && c.home.epoch > c.outbid
}

// Outbid notes that a host refused the claim for one of epoch e.
func (c *Core) Outbid(e fence.Epoch) { c.outbid = max(c.outbid, e) }

// Resign gives up the claim. Its final state stays for the next home.
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

// Waiting returns the hosts whose reports the claim still needs.
func (c *Core) Waiting() []string {
	if c.home == nil || c.home.takeover == nil {
		return nil
	}
	return c.home.takeover.Waiting()
}

// Reported takes a host's report for this host's claim.
func (c *Core) Reported(host string, e fence.Epoch, r Report, now time.Time) {
	if c.home == nil || c.home.epoch != e || c.home.takeover == nil {
		return
	}
	if c.home.takeover.Add(host, r.Report) {
		c.home.reports = append(c.home.reports, r)
	}
	c.tryOpen(now)
}

// Listed tells the claim which hosts the table lists now.
func (c *Core) Listed(listed func(host string) bool, now time.Time) {
	if c.home == nil || c.home.takeover == nil {
		return
	}
	c.home.takeover.Keep(listed)
	c.tryOpen(now)
}

func (c *Core) tryOpen(now time.Time) {
	if c.home.tryOpen(now) {
		c.opened = c.home.epoch
	}
}

// Renew extends the lease under which this host grants. asked is when the
// hosts that agreed were asked.
func (c *Core) Renew(e fence.Epoch, asked time.Time) {
	if c.home != nil && c.home.epoch == e {
		c.home.lease = asked.Add(LeaseTerm)
	}
}

// SetParams changes the limits.
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
// the attempts that are granted in turn.
func (c *Core) Release(attempt string, now time.Time) []string {
	if c.home == nil {
		return nil
	}
	return c.home.release(attempt, now)
}

// Shed stops grants until the given time, as the backend server asked.
func (c *Core) Shed(until time.Time) {
	if c.home != nil && until.After(c.home.shedUntil) {
		c.home.shedUntil = until
	}
}

// Tick frees slots whose time has passed. It returns the attempts that are
// granted and those whose deadline passed in the queue.
func (c *Core) Tick(now time.Time) (granted, expired []string) {
	if c.home == nil {
		return nil, nil
	}
	c.tryOpen(now)
	return c.home.tick(now)
}

// Epoch returns the epoch of the slots' home as this host knows it.
func (c *Core) Epoch() fence.Epoch { return c.marks.Last().Epoch }

// Idle reports whether the core holds nothing that a home may need.
func (c *Core) Idle() bool { return c.home == nil && len(c.running) == 0 }

// Serves reports whether this host grants slots as their home.
func (c *Core) Serves(now time.Time) bool { return c.home != nil && c.home.mayGrant(now) }
