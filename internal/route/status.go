package route

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Interrupted notes that a host that was cut off may have taken packets of a
// bucket whose home this is. The watch of the bucket starts anew.
func (k *Keeper) Interrupted(now time.Time, id BucketID) {
	if w := k.buckets[id]; w != nil {
		w.started = now
	}
}

// Status returns what the host knows of the moving buckets whose home it is,
// and names the stable buckets whose home it has to become.
func (k *Keeper) Status(now time.Time) []records.BucketStatus {
	var out []records.BucketStatus
	for _, id := range k.order {
		out = append(out, k.status(now, id))
	}
	for _, id := range k.router.kept.list() {
		b := k.bucket(id)
		switch {
		case b == nil || b.Moving():
		case k.exceptions(id, b.Unknown()) == 0:
			k.router.kept.remove(id)
		default:
			out = append(out, records.BucketStatus{Service: id.Service, Bucket: id.Index, Since: b.Since, Home: k.view.self, Kept: true})
		}
	}
	return out
}

func (k *Keeper) status(now time.Time, id BucketID) records.BucketStatus {
	w := k.buckets[id]
	s := records.BucketStatus{Service: id.Service, Bucket: id.Index, Since: w.bucket.Since, Home: k.view.self}
	s.Exceptions = k.exceptions(id, w.bucket.Opening())
	if w.moving {
		s.SettledFor = now.Sub(w.started)
	}
	for _, n := range w.bucket.Backups {
		if c := w.copies[n]; c != nil && !c.acked.IsZero() {
			s.Copies = append(s.Copies, records.CopyStatus{Backup: n, Incarnation: c.incarnation})
		}
	}
	s.Done = w.done(s, k.idle(id.Service))
	return s
}

// exceptions counts the records of backend servers other than the given one.
func (k *Keeper) exceptions(id BucketID, usual table.BackendNum) int {
	n := 0
	for _, r := range k.export(id) {
		if r.Backend != usual {
			n++
		}
	}
	return n
}

func (w *watch) done(s records.BucketStatus, idle time.Duration) bool {
	switch w.bucket.Phase {
	case table.Move:
		return s.SettledFor > idle
	case table.Settle:
		// A home that restarted in this phase has its exceptions back once
		// it has watched for the idle timeout: each packet asks the backups.
		return s.Exceptions == 0 && s.SettledFor > idle
	}
	return false
}

var errFull = fault.New(fault.Unavailable, "raise the limit on flow records", "the store of flow records is full")

// Install takes over the records that another host sent. What is recorded here
// counts before a copy: the home that sent it may have lost its own records.
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
