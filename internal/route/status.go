package route

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Interrupted records that a cut-off host may have handled packets of a bucket
// whose home this host is. The home must again see every packet of the bucket
// for the idle timeout.
func (r *Replicator) Interrupted(now time.Time, id BucketID) {
	if state := r.buckets[id]; state != nil {
		state.allPacketsSince = now
	}
}

// Status returns the status of the moving buckets whose home this host is, and
// of the stable buckets whose home it must become.
func (r *Replicator) Status(now time.Time) []records.BucketStatus {
	var out []records.BucketStatus
	for _, id := range r.order {
		out = append(out, r.status(now, id))
	}
	for _, id := range r.router.cutOffBuckets.list() {
		b := r.bucket(id)
		switch {
		case b == nil || b.Moving():
		case r.exceptions(id, b.Unknown()) == 0:
			r.router.cutOffBuckets.remove(id)
		default:
			out = append(out, records.BucketStatus{Service: id.Service, Bucket: id.Index, Since: b.Since, Home: r.view.self, Kept: true})
		}
	}
	return out
}

func (r *Replicator) status(now time.Time, id BucketID) records.BucketStatus {
	state := r.buckets[id]
	s := records.BucketStatus{Service: id.Service, Bucket: id.Index, Since: state.bucket.Since, Home: r.view.self}
	s.Exceptions = r.exceptions(id, state.bucket.Opening())
	if state.seesAllPackets {
		s.SettledFor = now.Sub(state.allPacketsSince)
	}
	for _, n := range state.bucket.Backups {
		if c := state.copies[n]; c != nil && !c.ackedAt.IsZero() {
			s.Copies = append(s.Copies, records.CopyStatus{Backup: n, Incarnation: c.incarnation})
		}
	}
	s.Done = state.done(s, r.idle(id.Service))
	return s
}

// exceptions returns the number of records whose backend server is not usual.
func (r *Replicator) exceptions(id BucketID, usual table.BackendNum) int {
	n := 0
	for _, rec := range r.export(id) {
		if rec.Backend != usual {
			n++
		}
	}
	return n
}

// done reports whether the home has met the condition for the end of the phase.
func (state *bucketState) done(s records.BucketStatus, idle time.Duration) bool {
	switch state.bucket.Phase {
	case table.Move:
		return s.SettledFor > idle
	case table.Settle:
		// A home that restarted in this phase has recovered its exceptions
		// after the idle timeout, as each packet of a flow without a record
		// passes through the backups.
		return s.Exceptions == 0 && s.SettledFor > idle
	}
	return false
}

var errFull = fault.New(fault.Unavailable, "raise the limit on flow records", "the flow record store is full")

// Install stores the records that another host sent. Unless the batch is marked
// as an override, records that this host already has take precedence, as the
// home that sent the batch may have lost its own records.
func (r *Router) Install(now records.Seconds, b records.Batch) error {
	list, err := records.Decode(b.Data)
	if err != nil {
		return err
	}
	for _, rec := range list {
		if _, _, known := r.Records.Lookup(rec.Flow, now); known && !b.Override {
			continue
		}
		if !r.Records.Put(rec, 0, now) {
			return errFull
		}
	}
	return nil
}
