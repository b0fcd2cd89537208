package oncekey

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// entry is a record with absolute times.
type entry struct {
	Record
	made     time.Time
	deadline time.Time
}

func (e entry) record(now time.Time) Record {
	r := e.Record
	r.Left, r.Age = e.deadline.Sub(now), now.Sub(e.made)
	return r
}

func entryOf(r Record, now time.Time) entry {
	return entry{Record: r, made: now.Add(-r.Age), deadline: now.Add(r.Left)}
}

// Core is one host's knowledge of one shard: as home, as backup, and as the
// host that sends requests. It is not safe for concurrent use.
type Core struct {
	self    string // process name
	since   int64  // when the table first listed the process, microseconds since 1970
	marks   fence.Marks
	records map[string]entry // as home or backup, by key
	sending map[string]entry // by key
	served  fence.Epoch      // epoch of which records holds everything
	floor   Floor            // of the served epoch
	opened  fence.Epoch
	outbid  fence.Epoch
	synced  syncID // last whole shard taken as backup
	home    *home
}

// home is the state of a shard's home.
type home struct {
	epoch    fence.Epoch
	params   Params
	takeover *fence.Takeover
	reports  []Report
	gathered bool // the takeover is decided; the backup may lack records
	decided  time.Time
	lost     bool
	open     bool
	floor    Floor
	lease    time.Time
	syncs    int    // whole shards that the backup needed
	changes  uint64 // changes of records
}

// New returns the core of a process.
func New(self string, since int64) *Core {
	return &Core{self: self, since: since, records: map[string]entry{}, sending: map[string]entry{}}
}

// Fence takes a claim and reports what this host knows. From then on the host
// sends no request on a permission of an older epoch. It reports false if a
// newer claim is known.
func (c *Core) Fence(claim fence.Mark, now time.Time) (Report, bool) {
	if !c.marks.Advance(claim) {
		return Report{}, false
	}
	if c.home != nil && c.home.epoch < claim.Epoch {
		c.home = nil
	}
	r := Report{Report: fence.Report{Host: c.self, Marks: c.marks.Before(claim.Epoch), Served: c.served, Opened: c.opened, Since: c.since}, Floor: c.floor}
	r.Records = list(c.records, now)
	r.Sending = list(c.sending, now)
	return r, true
}

func list(entries map[string]entry, now time.Time) []Record {
	var records []Record
	for _, e := range entries {
		records = append(records, e.record(now))
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// Rejoin notes that the table dropped this host for a time. Other homes may
// have served then without its knowledge, so its records prove nothing more
// about keys that they lack.
func (c *Core) Rejoin(now time.Time) {
	c.served, c.since, c.home = 0, now.UnixMicro(), nil
}

// Claim starts to take the shard over as its home. hosts are the entry hosts
// that must report. first are their processes if no other process has been an
// entry host before, else nil. It reports false if a newer claim is known.
func (c *Core) Claim(e fence.Epoch, hosts, first []string, p Params) bool {
	if e <= max(c.marks.Last().Epoch, c.outbid) {
		return false
	}
	c.home = &home{epoch: e, params: p, takeover: fence.NewTakeover(e, 0, hosts, first)}
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

// Epoch returns the epoch of the shard's home as this host knows it.
func (c *Core) Epoch() fence.Epoch { return c.marks.Last().Epoch }

// Home returns the process that claims the shard, as this host knows.
func (c *Core) Home() string { return c.marks.Last().Home }

// Resign gives up the claim. The records stay for the next home.
func (c *Core) Resign() { c.home = nil }

// Waiting returns the hosts whose reports the claim still needs.
func (c *Core) Waiting() []string {
	if c.home == nil || c.home.gathered {
		return nil
	}
	return c.home.takeover.Waiting()
}

// Reported takes a host's report for this host's claim.
func (c *Core) Reported(host string, e fence.Epoch, r Report, now time.Time) {
	if c.home == nil || c.home.epoch != e || c.home.gathered {
		return
	}
	if c.home.takeover.Add(host, r.Report) {
		c.home.reports = append(c.home.reports, r)
	}
	c.decide(now)
}

// Listed tells the claim which hosts the table lists now.
func (c *Core) Listed(listed func(host string) bool, now time.Time) {
	if c.home == nil || c.home.gathered {
		return
	}
	c.home.takeover.Keep(listed)
	c.decide(now)
}

// decide merges the reports once all are in. Records of any host count, even
// of one that does not hold all: what it knows to have run has run.
func (c *Core) decide(now time.Time) {
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
	c.home.lost = verdict == fence.Lost
	c.home.gathered, c.home.decided, c.home.reports = true, now, nil
}

// floorOf returns the floor after a takeover. A key's time may run ahead of
// the clock that checked it by MaxSkew, and that clock ahead of this one.
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
