package route

import (
	"slices"
	"time"

	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// copyRetry is the time after which an unanswered copy is sent again.
const copyRetry = time.Second

// Bounds on the bytes of copies that a host sends. They keep copies within the
// budget of control traffic, but let a few buckets be repaired at once.
const (
	copyRate     = 4 << 10  // bytes per second
	copyBurst    = 32 << 10 // bytes
	copyOverhead = 100      // bytes of a call besides the records
)

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
	pushes  map[BucketID]*copyState // records of a cut that go to another home
	budget  float64                 // bytes that copies may take now, negative after a large one
	stepped time.Time               // time of the last step
	turn    int                     // index in order of the bucket that was looked at last
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
	return &Keeper{router: r, idle: idle, buckets: map[BucketID]*watch{}, pushes: map[BucketID]*copyState{}}
}

// Step returns the copies to send now.
func (k *Keeper) Step(now time.Time, v *View) []Copy {
	if v != k.view {
		k.adopt(now, v)
	}
	k.budget += copyRate * now.Sub(k.stepped).Seconds()
	k.budget = min(k.budget, copyBurst)
	k.stepped = now
	out := k.push(now)
	for range k.order {
		if k.budget <= 0 {
			break
		}
		k.turn = (k.turn + 1) % len(k.order)
		out = append(out, k.due(now, k.order[k.turn])...)
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
	slices.SortFunc(k.order, compareBuckets)
}

// push returns the records of a time when this host was cut off that the homes
// of moving buckets lack.
func (k *Keeper) push(now time.Time) []Copy {
	var out []Copy
	for _, id := range k.router.kept.list() {
		b := k.bucket(id)
		if b == nil || b.Moving() && b.Home == k.view.self {
			k.router.kept.remove(id)
			continue
		}
		host, ok := k.view.Table.Hosts[b.Home]
		if !b.Moving() || !ok {
			continue
		}
		p := k.pushes[id]
		if p == nil || p.incarnation != host.Incarnation {
			p = &copyState{incarnation: host.Incarnation}
			k.pushes[id] = p
		}
		// While a cut heals no record is added but through the homes, so
		// that one copy of each bucket is enough.
		if !p.acked.IsZero() && now.Sub(p.acked) < 2*HealDelay {
			k.router.kept.remove(id)
			continue
		}
		if now.Sub(p.sent) < copyRetry {
			continue
		}
		p.sent = now
		c := k.copyTo(id, host)
		c.Batch.Override = true
		out = append(out, c)
	}
	return out
}

// bucket returns a bucket of the table, or nil.
func (k *Keeper) bucket(id BucketID) *table.Bucket {
	svc := k.view.Table.ByName[id.Service]
	if svc == nil || id.Index >= len(svc.Buckets) {
		return nil
	}
	return &svc.Buckets[id.Index]
}

func (k *Keeper) copyTo(id BucketID, to table.Host) Copy {
	data := records.Encode(k.export(id))
	k.budget -= float64(len(data) + copyOverhead)
	return Copy{ID: id, To: to.Num, Incarnation: to.Incarnation, Batch: records.Batch{
		Service: id.Service, Bucket: id.Index, Data: data,
	}}
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
		out = append(out, k.copyTo(id, host))
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
	if p := k.pushes[c.ID]; p != nil && p.incarnation == c.Incarnation {
		p.acked = now
		k.router.kept.remove(c.ID)
	}
	w := k.buckets[c.ID]
	if w == nil {
		return
	}
	if s := w.copies[c.To]; s != nil && s.incarnation == c.Incarnation {
		s.acked = now
	}
}
