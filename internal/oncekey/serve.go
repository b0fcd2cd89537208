package oncekey

import (
	"time"

	"greengagequay/internal/fence"
)

// Sync is the whole of a shard, as its home brings it to the backup.
type Sync struct {
	Claim   fence.Mark
	Number  int // rises each time the backup needs the whole shard
	Floor   Floor
	Records []Record
}

// Copy is a change of one record, as its home brings it to the backup.
type Copy struct {
	Claim  fence.Mark
	Record Record
	Delete bool
}

// syncID names one transfer of a whole shard.
type syncID struct {
	claim  fence.Mark
	number int
}

// Pending returns what the backup needs before the home may serve.
func (c *Core) Pending(now time.Time) (Sync, bool) {
	if c.home == nil || !c.home.gathered || c.home.open {
		return Sync{}, false
	}
	claim := fence.Mark{Epoch: c.home.epoch, Home: c.self}
	return Sync{Claim: claim, Number: c.home.syncs, Floor: c.home.floor, Records: list(c.records, now)}, true
}

// Open starts to serve. The backup has taken what Pending returned, or there
// is none. A home whose predecessor was lost waits until the predecessor's
// lease has ended.
func (c *Core) Open(e fence.Epoch, now time.Time) bool {
	if c.home == nil || c.home.epoch != e || !c.home.gathered {
		return false
	}
	if c.home.lost && now.Before(c.home.decided.Add(c.home.params.Lease)) {
		return false
	}
	c.home.open = true
	c.opened, c.served, c.floor = e, e, c.home.floor
	return true
}

// Resync stops serving until the backup, which refused a copy, has the whole
// shard again.
func (c *Core) Resync(e fence.Epoch) {
	if c.home != nil && c.home.epoch == e && c.home.open {
		c.home.open = false
		c.home.syncs++
	}
}

// Renew extends the lease under which this host permits requests. current is
// when the state that names this host as the home was last known to be current.
func (c *Core) Renew(current time.Time) {
	if c.home != nil {
		c.home.lease = current.Add(c.home.params.Lease)
	}
}

// Sync takes a whole shard as its backup. One that comes late changes nothing,
// since copies may have followed it.
func (c *Core) Sync(s Sync, now time.Time) bool {
	if c.marks.Last() != s.Claim {
		return false
	}
	id := syncID{s.Claim, s.Number}
	if c.synced.claim == s.Claim && c.synced.number >= s.Number && c.served == s.Claim.Epoch {
		return c.synced == id
	}
	c.synced = id
	c.records = map[string]entry{}
	for _, r := range s.Records {
		c.records[r.Key] = entryOf(r, now)
	}
	c.served, c.floor = s.Claim.Epoch, s.Floor
	return true
}

// Copy takes one record as the backup. It reports false if the claim is not in
// force here; the home must then permit nothing.
func (c *Core) Copy(m Copy, now time.Time) bool {
	if c.marks.Last() != m.Claim || c.served != m.Claim.Epoch {
		return false
	}
	if c.records[m.Record.Key].Change > m.Record.Change {
		return true // a later change came first
	}
	if m.Delete {
		c.remove(m.Record.Key, m.Record.Attempt)
		return true
	}
	c.records[m.Record.Key] = entryOf(m.Record, now)
	return true
}

// Serves reports whether this host permits requests as the shard's home.
func (c *Core) Serves(now time.Time) bool {
	return c.home != nil && c.home.open && now.Before(c.home.lease)
}

// Begin decides whether a request may run. After Run the caller of Begin must
// copy the record to the backup before it passes the permission on.
func (c *Core) Begin(b Begin, now time.Time) Decision {
	if !c.Serves(now) {
		return Decision{Verdict: NotHome}
	}
	if e, ok := c.records[b.Key]; ok {
		return c.known(e, b, now)
	}
	if v, why := c.mayBeNew(b, now); v != Run {
		return Decision{Verdict: v, Why: why}
	}
	if len(c.records) >= c.home.params.MaxRecords {
		return Decision{Verdict: Busy}
	}
	c.home.changes++
	r := Record{Key: b.Key, State: Intent, Attempt: b.Attempt, Runner: b.Runner, Change: c.home.changes, Left: b.Remaining}
	c.records[b.Key] = entryOf(r, now)
	return Decision{Verdict: Run, Epoch: c.home.epoch, Record: r}
}

// known decides for a key with a record. An attempt that asks again has not
// been sent, since its host sends only after an answer.
func (c *Core) known(e entry, b Begin, now time.Time) Decision {
	switch {
	case e.State == Intent && e.Attempt == b.Attempt && now.Before(e.deadline):
		return Decision{Verdict: Run, Epoch: c.home.epoch, Record: e.record(now)}
	case e.State == Done && e.Answer.Cut:
		return Decision{Verdict: Unknown, Why: "it ran, but its answer was too large or was cut off and is not kept"}
	case e.State == Done:
		return Decision{Verdict: Answered, Record: e.record(now)}
	case now.Before(e.deadline):
		return Decision{Verdict: Running}
	}
	return Decision{Verdict: Unknown, Why: "an earlier attempt was sent and no answer is known"}
}

// mayBeNew decides whether a key without a record is certainly new.
func (c *Core) mayBeNew(b Begin, now time.Time) (Verdict, string) {
	made, floor, retention := b.Made, c.home.floor, c.home.params.Retention
	hidden := floor.Hides(b.Service)
	switch {
	case made.IsZero() && hidden && now.Before(floor.Time.Add(retention)):
		return Unknown, "records of keys without a time were lost"
	case made.IsZero():
		return Run, ""
	case made.After(now.Add(MaxSkew)):
		return Invalid, ""
	case hidden && !made.After(floor.Time):
		return Unknown, "records of keys as old as this one were lost"
	case made.Before(now.Add(-retention)):
		return Unknown, "the key is older than the time for which answers are kept"
	}
	return Run, ""
}

// Start notes that this host sends the request. The record's Left must be what
// remains at now. It reports false if the permission is void; the request must
// then not be sent.
func (c *Core) Start(r Record, e fence.Epoch, now time.Time) bool {
	if !c.marks.Allows(e) || r.Left <= 0 {
		return false
	}
	c.sending[r.Key] = entryOf(r, now)
	return true
}

// End notes that this host no longer sends the request.
func (c *Core) End(key, attempt string) {
	if c.sending[key].Attempt == attempt {
		delete(c.sending, key)
	}
}

// Finish stores the answer of an attempt. It returns the record to copy to the
// backup, and false if this host is not the home.
func (c *Core) Finish(key, attempt string, a Answer, now time.Time) (Record, bool) {
	if c.home == nil || !c.home.open {
		return Record{}, false
	}
	e, ok := c.records[key]
	if !ok || e.Attempt != attempt {
		return Record{}, false
	}
	c.home.changes++
	e.State, e.Answer, e.Change = Done, a, c.home.changes
	c.records[key] = e
	return e.record(now), true
}

// Abort forgets an attempt that certainly did not run. It returns the record
// to delete at the backup, and false if this host is not the home.
func (c *Core) Abort(key, attempt string) (Record, bool) {
	if c.home == nil || !c.home.open || !c.remove(key, attempt) {
		return Record{}, false
	}
	c.home.changes++
	return Record{Key: key, Attempt: attempt, Change: c.home.changes}, true
}

func (c *Core) remove(key, attempt string) bool {
	e, ok := c.records[key]
	if !ok || e.State != Intent || e.Attempt != attempt {
		return false
	}
	delete(c.records, key)
	return true
}

// Expire drops records whose retention has passed. A key's time may be off by
// twice MaxSkew, so records are kept for that much longer.
func (c *Core) Expire(retention time.Duration, now time.Time) {
	for key, e := range c.records {
		if now.After(e.deadline) && now.Sub(e.made) > retention+2*MaxSkew {
			delete(c.records, key)
		}
	}
}
