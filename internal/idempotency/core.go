package idempotency

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// entry is a record as kept on this host, with times of this host's clock.
type entry struct {
	Record
	createdAt time.Time
	deadline  time.Time
}

func (e entry) record(now time.Time) Record {
	r := e.Record
	r.Left, r.Age = e.deadline.Sub(now), now.Sub(e.createdAt)
	return r
}

func entryOf(r Record, now time.Time) entry {
	return entry{Record: r, createdAt: now.Add(-r.Age), deadline: now.Add(r.Left)}
}

// Core is one host's state of one shard: as home, as backup, and as a host that
// sends requests to backend servers. It is not safe for concurrent use.
type Core struct {
	self         string // process name
	since        int64  // time from which the table has listed the process without a gap, microseconds since 1970
	marks        fence.Marks
	records      map[string]entry // of the home or backup, by key
	sending      map[string]entry // requests that this host is sending, by key
	servedEpoch  fence.Epoch      // epoch for which records is complete, 0 for none
	floor        Floor            // floor of servedEpoch
	openedEpoch  fence.Epoch      // latest epoch under which this host served as the home, 0 for none
	refusedEpoch fence.Epoch      // highest epoch of a claim that a host preferred to this host's claim
	synced       syncID           // last whole shard accepted as backup
	home         *home
}

// home is the state that a host keeps as the home of a shard.
type home struct {
	epoch           fence.Epoch
	params          Params
	takeover        *fence.Takeover
	reports         []Report
	takenOver       bool // the takeover has ended; the backup may not have the records yet
	takenOverAt     time.Time
	predecessorLost bool // the predecessor's records may be lost
	open            bool
	floor           Floor
	leaseEnd        time.Time
	syncNumber      int    // number of the transfer of the whole shard that the backup needs
	changes         uint64 // number of the last change of a record
}

// New returns the core of a process.
func New(self string, since int64) *Core {
	return &Core{self: self, since: since, records: map[string]entry{}, sending: map[string]entry{}}
}

// Fence accepts a claim and returns this host's report. From then on the host
// sends no request under a permission of an older epoch. Fence returns false if
// this host knows another claim of the same or a newer epoch.
func (c *Core) Fence(claim fence.Mark, now time.Time) (Report, bool) {
	if !c.marks.Advance(claim) {
		return Report{}, false
	}
	if c.home != nil && c.home.epoch < claim.Epoch {
		c.home = nil
	}
	r := Report{Report: fence.Report{Host: c.self, Marks: c.marks.Before(claim.Epoch), Served: c.servedEpoch, Opened: c.openedEpoch, Since: c.since}, Floor: c.floor}
	r.Records = recordsOf(c.records, now)
	r.Sending = recordsOf(c.sending, now)
	return r, true
}

func recordsOf(entries map[string]entry, now time.Time) []Record {
	var records []Record
	for _, e := range entries {
		records = append(records, e.record(now))
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// Rejoin records that the table lists this host from now on, for the first time
// or again. While it was not listed, other homes may have served, so a request
// whose key has no record on this host may have run.
func (c *Core) Rejoin(now time.Time) {
	c.servedEpoch, c.since, c.home = 0, now.UnixMicro(), nil
}

// Claim starts the takeover of the shard by this host as its home. hosts are the
// entry hosts that must report. initialProcesses are their processes if no other
// process has ever been an entry host, else nil. Claim returns false if a claim of
// this or a newer epoch is known.
func (c *Core) Claim(e fence.Epoch, hosts, initialProcesses []string, p Params) bool {
	if e <= max(c.marks.Last().Epoch, c.refusedEpoch) {
		return false
	}
	c.home = &home{epoch: e, params: p, takeover: fence.NewTakeover(e, 0, hosts, initialProcesses)}
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

// Epoch returns the epoch of the newest claim on the shard known to this host.
func (c *Core) Epoch() fence.Epoch { return c.marks.Last().Epoch }

// Home returns the process with the newest claim on the shard known to this
// host, empty if none is known.
func (c *Core) Home() string { return c.marks.Last().Home }

// Resign gives up the claim. The records are kept for the next home's takeover.
func (c *Core) Resign() { c.home = nil }

// MissingReports returns the hosts whose reports the claim still needs.
func (c *Core) MissingReports() []string {
	if c.home == nil || c.home.takenOver {
		return nil
	}
	return c.home.takeover.Waiting()
}

// AddReport adds a host's report for this host's claim of epoch e.
func (c *Core) AddReport(host string, e fence.Epoch, r Report, now time.Time) {
	if c.home == nil || c.home.epoch != e || c.home.takenOver {
		return
	}
	if c.home.takeover.Add(host, r.Report) {
		c.home.reports = append(c.home.reports, r)
	}
	c.finishTakeover(now)
}

// UpdateListed stops waiting for reports of hosts that the table no longer lists.
func (c *Core) UpdateListed(listed func(host string) bool, now time.Time) {
	if c.home == nil || c.home.takenOver {
		return
	}
	c.home.takeover.DropUnlisted(listed)
	c.finishTakeover(now)
}

// finishTakeover merges the reports once none is missing. It also merges records
// of hosts whose records are incomplete: each record shows that its request may
// have run, whatever other records are missing.
func (c *Core) finishTakeover(now time.Time) {
	verdict, served := c.home.takeover.Result()
	if verdict == fence.Pending {
		return
	}
	for _, r := range c.home.reports {
		for _, rec := range r.Records {
			c.merge(rec, now)
		}
		for _, rec := range r.Sending {
			c.merge(rec, now)
		}
	}
	c.home.floor = c.floorOf(verdict, served, now)
	c.home.predecessorLost = verdict == fence.Lost
	c.home.takenOver, c.home.takenOverAt, c.home.reports = true, now, nil
}

// floorOf returns the floor after a takeover. If the records were lost, the
// predecessor may permit requests until its lease ends, and it accepts key times
// up to MaxSkew ahead of its own clock, which may be MaxSkew ahead of this host's.
func (c *Core) floorOf(v fence.Verdict, served fence.Epoch, now time.Time) Floor {
	if v == fence.Lost {
		return Floor{Time: now.Add(2*MaxSkew + c.home.params.Lease), Epoch: c.home.epoch}
	}
	var floor Floor
	for _, r := range c.home.reports {
		if r.Served == served && r.Floor.Epoch >= floor.Epoch {
			floor = r.Floor
		}
	}
	return floor
}

func (c *Core) merge(r Record, now time.Time) {
	c.home.changes = max(c.home.changes, r.Change)
	if old, ok := c.records[r.Key]; ok && old.State >= r.State {
		return
	}
	c.records[r.Key] = entryOf(r, now)
}
