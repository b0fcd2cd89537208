package route

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// copyRetry is the time after which an unanswered copy is sent again.
const copyRetry = time.Second

// copyBudget is the most bytes of records that one step sends.
const copyBudget = 32 << 10

// Copy is a batch of records to send to a backup.
type Copy struct {
	ID          BucketID
	To          table.HostNum
	Incarnation uint64 // of the receiver
	Batch       records.Batch
}

// Keeper watches the moving buckets whose home this host is, and keeps their
// backups complete. It is not safe for concurrent use.
type Keeper struct {
	router  *Router
	idle    func(service string) time.Duration
	view    *View
	buckets map[BucketID]*watch
	order   []BucketID
}

// watch is what a home knows of one moving bucket.
type watch struct {
	bucket  table.Bucket
	moving  bool      // the bucket is in phase Move or Settle
	started time.Time // every packet since then passed here
	copies  map[table.HostNum]*copyState
}

// copyState is the state of the copy on one backup.
type copyState struct {
	incarnation uint64
	sent        time.Time
	acked       time.Time // zero until the backup holds every record
}

// NewKeeper returns a keeper for the router. The function idle returns the
// time after which a silent flow of a service is forgotten.
func NewKeeper(r *Router, idle func(service string) time.Duration) *Keeper {
	return &Keeper{router: r, idle: idle, buckets: map[BucketID]*watch{}}
}

// Step returns the copies to send now.
func (k *Keeper) Step(now time.Time, v *View) []Copy {
	if v != k.view {
		k.adopt(now, v)
	}
	var out []Copy
	size := 0
	for _, id := range k.order {
		for _, c := range k.due(now, id) {
			out = append(out, c)
			size += len(c.Batch.Data)
		}
		if size >= copyBudget {
			break
		}
	}
	return out
}

// adopt takes over the buckets of a new view.
func (k *Keeper) adopt(now time.Time, v *View) {
	k.view = v
	old := k.buckets
	k.buckets, k.order = map[BucketID]*watch{}, nil
	if v.self == 0 {
		return
	}
	for name, svc := range v.Table.ByName {
		for i := range svc.Buckets {
			b := &svc.Buckets[i]
			if b.Moving() && b.Home == v.self {
				id := BucketID{name, i}
				k.buckets[id] = old[id].next(now, b)
				k.order = append(k.order, id)
			}
		}
	}
	slices.SortFunc(k.order, func(a, b BucketID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Index-b.Index)
	})
}

// next returns the watch of the bucket's new state. The time of a watch starts
// anew when the unknown flows belong to another candidate.
func (w *watch) next(now time.Time, b *table.Bucket) *watch {
	moving := b.Phase == table.Move || b.Phase == table.Settle
	n := &watch{bucket: *b, moving: moving, started: now, copies: map[table.HostNum]*copyState{}}
	if w == nil {
		return n
	}
	n.copies = w.copies
	if w.moving && moving && w.bucket.Unknown() == b.Unknown() {
		n.started = w.started
	}
	return n
}

// due returns the copies of one bucket that are to be sent.
func (k *Keeper) due(now time.Time, id BucketID) []Copy {
	w := k.buckets[id]
	var out []Copy
	for _, n := range w.bucket.Backups {
		host, ok := k.view.Table.Hosts[n]
		if !ok || n == k.view.self {
			continue
		}
		c := w.copies[n]
		if c == nil || c.incarnation != host.Incarnation {
			c = &copyState{incarnation: host.Incarnation}
			w.copies[n] = c
		}
		if !c.due(now, k.idle(id.Service)/2) {
			continue
		}
		c.sent = now
		out = append(out, Copy{ID: id, To: n, Incarnation: host.Incarnation, Batch: records.Batch{
			Service: id.Service, Bucket: id.Index, Data: records.Encode(k.export(id)),
		}})
	}
	return out
}

// due reports whether a copy is to be sent: at first, again if there was no
// answer, and regularly so that the backup does not forget idle flows.
func (c *copyState) due(now time.Time, refresh time.Duration) bool {
	if now.Sub(c.sent) < copyRetry {
		return false
	}
	return c.acked.IsZero() || now.Sub(c.acked) >= refresh
}

func (k *Keeper) export(id BucketID) []records.Record {
	svc := k.view.Table.ByName[id.Service]
	member := func(n table.BackendNum) bool { return k.view.delivers(n, svc) }
	return k.router.Records.Bucket(nil, uint64(id.Index), svc.Mask, member)
}

// Acked notes that a copy has arrived.
func (k *Keeper) Acked(now time.Time, c Copy) {
	w := k.buckets[c.ID]
	if w == nil {
		return
	}
	if s := w.copies[c.To]; s != nil && s.incarnation == c.Incarnation {
		s.acked = now
	}
}

// Status returns what the host knows of the moving buckets whose home it is.
func (k *Keeper) Status(now time.Time) []records.BucketStatus {
	var out []records.BucketStatus
	for _, id := range k.order {
		out = append(out, k.status(now, id))
	}
	return out
}

func (k *Keeper) status(now time.Time, id BucketID) records.BucketStatus {
	w := k.buckets[id]
	s := records.BucketStatus{Service: id.Service, Bucket: id.Index, Since: w.bucket.Since, Home: k.view.self}
	if w.moving {
		s.SettledFor = now.Sub(w.started)
	}
	for _, r := range k.export(id) {
		if r.Backend != w.bucket.Opening() {
			s.Exceptions++
		}
	}
	for _, n := range w.bucket.Backups {
		if c := w.copies[n]; c != nil && !c.acked.IsZero() {
			s.Copies = append(s.Copies, records.CopyStatus{Backup: n, Incarnation: c.incarnation})
		}
	}
	s.Done = w.done(s, k.idle(id.Service))
	return s
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

// Install takes over the records that the home of a bucket copied here.
func (r *Router) Install(now records.Seconds, b records.Batch) error {
	list, err := records.Decode(b.Data)
	if err != nil {
		return err
	}
	for _, rec := range list {
		if !r.Records.Put(rec, 0, now) {
			return errFull
		}
	}
	return nil
}

// Heal marks the buckets for which this host, while it was cut off, chose
// other backend servers than the table does. Views made from then on honour
// these records.
func (r *Router) Heal(v *View) {
	for name, svc := range v.Table.ByName {
		member := func(n table.BackendNum) bool { return v.delivers(n, svc) }
		for i := range svc.Buckets {
			for _, rec := range r.Records.Bucket(nil, uint64(i), svc.Mask, member) {
				if rec.Backend != svc.Buckets[i].Unknown() {
					r.kept.add(name, i)
				}
			}
		}
	}
}
