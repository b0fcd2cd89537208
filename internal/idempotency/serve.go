package idempotency

import (
	"time"

	"greengagequay/internal/fence"
)

// Sync is a copy of a whole shard that its home sends to the backup.
type Sync struct {
	Claim   fence.Mark
	Number  int // incremented each time that the backup needs the whole shard again
	Floor   Floor
	Records []Record
}

// Copy is a change of one record that the home of its shard sends to the backup.
type Copy struct {
	Claim  fence.Mark
	Record Record
	Delete bool
}

// syncID identifies one transfer of a whole shard.
type syncID struct {
	claim  fence.Mark
	number int
}

// PendingSync returns the copy of the shard that the backup must accept before the
// home may serve. It returns false if the takeover has not ended or the home is
// already open.
func (c *Core) PendingSync(now time.Time) (Sync, bool) {
	if c.home == nil || !c.home.takenOver || c.home.open {
		return Sync{}, false
	}
	claim := fence.Mark{Epoch: c.home.epoch, Home: c.self}
	return Sync{Claim: claim, Number: c.home.syncNumber, Floor: c.home.floor, Records: recordsOf(c.records, now)}, true
}

// Open starts serving. It must be called only after the backup has accepted the
// result of PendingSync, or if there is no backup. It returns false if this host
// may not serve yet: a home whose predecessor's records were lost waits until
// the predecessor's lease has ended.
func (c *Core) Open(e fence.Epoch, now time.Time) bool {
	if c.home == nil || c.home.epoch != e || !c.home.takenOver {
		return false
	}
	if c.home.predecessorLost && now.Before(c.home.takenOverAt.Add(c.home.params.Lease)) {
		return false
	}
	c.home.open = true
	c.openedEpoch, c.servedEpoch, c.floor = e, e, c.home.floor
	return true
}

// Resync stops serving until the whole shard has been sent to the backup again.
// It is called if the backup did not accept a copy.
func (c *Core) Resync(e fence.Epoch) {
	if c.home != nil && c.home.epoch == e && c.home.open {
		c.home.open = false
		c.home.syncNumber++
	}
}

// Renew extends the lease under which this host permits requests. current is
// when the table that makes this host the home was last known to be current.
func (c *Core) Renew(current time.Time) {
	if c.home != nil {
		c.home.leaseEnd = current.Add(c.home.params.Lease)
	}
}

// Sync stores a whole shard as its backup and reports whether it was accepted. A
// transfer that is not newer than the last accepted one changes nothing, since
// copies may have followed that one.
func (c *Core) Sync(s Sync, now time.Time) bool {
	if c.marks.Last() != s.Claim {
		return false
	}
	id := syncID{s.Claim, s.Number}
	if c.synced.claim == s.Claim && c.synced.number >= s.Number && c.servedEpoch == s.Claim.Epoch {
		return c.synced == id
	}
	c.synced = id
	c.records = map[string]entry{}
	for _, r := range s.Records {
		c.records[r.Key] = entryOf(r, now)
	}
	c.servedEpoch, c.floor = s.Claim.Epoch, s.Floor
	return true
}

// Copy applies a change of one record as the backup. It returns false if this host
// knows another claim or lacks the whole shard; the home must then permit nothing.
func (c *Core) Copy(m Copy, now time.Time) bool {
	if c.marks.Last() != m.Claim || c.servedEpoch != m.Claim.Epoch {
		return false
	}
	if c.records[m.Record.Key].Change > m.Record.Change {
		return true // a later change of the record has already arrived
	}
	if m.Delete {
		c.remove(m.Record.Key, m.Record.Attempt)
		return true
	}
	c.records[m.Record.Key] = entryOf(m.Record, now)
	return true
}

// Serves reports whether this host may permit requests as the shard's home.
func (c *Core) Serves(now time.Time) bool {
	return c.home != nil && c.home.open && now.Before(c.home.leaseEnd)
}

// Begin decides whether a request may run. If the verdict is Run, the record must
// be copied to the backup before the decision is returned to the entry host.
func (c *Core) Begin(b Begin, now time.Time) Decision {
	if !c.Serves(now) {
		return Decision{Verdict: NotHome}
	}
	if e, ok := c.records[b.Key]; ok {
		return c.decideKnown(e, b, now)
	}
	if v, why := c.decideNew(b, now); v != Run {
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

// decideKnown decides about a key with a record. An attempt that asks again has
// not been sent yet, since its host sends it only after it received a decision.
func (c *Core) decideKnown(e entry, b Begin, now time.Time) Decision {
	switch {
	case e.State == Intent && e.Attempt == b.Attempt && now.Before(e.deadline):
		return Decision{Verdict: Run, Epoch: c.home.epoch, Record: e.record(now)}
	case e.State == Done && e.Answer.Cut:
		return Decision{Verdict: Unknown, Why: "the request ran, but its answer was too large or was cut off and is not kept"}
	case e.State == Done:
		return Decision{Verdict: Answered, Record: e.record(now)}
	case now.Before(e.deadline):
		return Decision{Verdict: Running}
	}
	return Decision{Verdict: Unknown, Why: "an earlier attempt was sent, and its outcome is unknown"}
}

// decideNew decides about a key without a record. It returns Run only if the key
// has certainly not run before; for Unknown it also returns the reason.
func (c *Core) decideNew(b Begin, now time.Time) (Verdict, string) {
	made, floor, retention := b.Made, c.home.floor, c.home.params.Retention
	covered := floor.Covers(b.Service)
	switch {
	case made.IsZero() && covered && now.Before(floor.Time.Add(retention)):
		return Unknown, "records of keys without a creation time were lost"
	case made.IsZero():
		return Run, ""
	case made.After(now.Add(MaxSkew)):
		return Invalid, ""
	case covered && !made.After(floor.Time):
		return Unknown, "records of keys as old as this one were lost"
	case made.Before(now.Add(-retention)):
		return Unknown, "the key is older than the time for which answers are kept"
	}
	return Run, ""
}

// Start records that this host sends a request under a permission of epoch e. The
// record's Left must be the time from now to the deadline. Start returns false if
// the permission is no longer valid; the request must then not be sent.
func (c *Core) Start(r Record, e fence.Epoch, now time.Time) bool {
	if !c.marks.Allows(e) || r.Left <= 0 {
		return false
	}
	c.sending[r.Key] = entryOf(r, now)
	return true
}

// End records that this host no longer sends the request.
func (c *Core) End(key, attempt string) {
	if c.sending[key].Attempt == attempt {
		delete(c.sending, key)
	}
}

// Finish stores the answer of an attempt and returns the record to copy to the
// backup. It returns false if this host does not serve the shard or has no record
// of the attempt.
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

// Abort deletes the intent record of an attempt that certainly did not run, and
// returns the record to delete at the backup. It returns false if this host does
// not serve the shard or has no intent record of the attempt.
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

// Expire deletes records 2*MaxSkew after their retention has passed, since the
// key's creation time may differ from this host's clock by that much.
func (c *Core) Expire(retention time.Duration, now time.Time) {
	for key, e := range c.records {
		if now.After(e.deadline) && now.Sub(e.createdAt) > retention+2*MaxSkew {
			delete(c.records, key)
		}
	}
}
