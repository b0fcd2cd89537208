package route

import (
	"slices"
	"time"

	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// copyRetryInterval is the time after which an unacknowledged copy is retried.
const copyRetryInterval = time.Second

// Rate limit on the copies that a host sends. It keeps copies within the budget
// for control traffic and lets a few buckets be repaired at once.
const (
	copyBytesPerSecond = 4 << 10
	copyBurstBytes     = 32 << 10
	copyOverheadBytes  = 100 // charged for each call in addition to its records
)

// Copy is a batch of records to send to a backup or to another home.
type Copy struct {
	ID          BucketID
	To          table.HostNum
	Incarnation uint64 // incarnation of the receiver
	Batch       records.Batch
}

// Replicator tracks the moving buckets whose home this host is, and copies their
// records to the backups. It is not safe for concurrent use.
type Replicator struct {
	router       *Router
	idle         func(service string) time.Duration
	view         *View
	buckets      map[BucketID]*bucketState
	order        []BucketID
	cutOffCopies map[BucketID]*copyState // copies to other homes of records from a period when this host was cut off
	budget       float64                 // bytes that copies may use now; negative after a large copy
	lastStep     time.Time               // time of the last call of Step
	lastIndex    int                     // position in order of the bucket that was checked last
}

// bucketState is what a home tracks about one moving bucket.
type bucketState struct {
	bucket          table.Bucket
	seesAllPackets  bool      // phase Move or Settle: entry hosts with a valid lease relay all packets of the bucket to this host
	allPacketsSince time.Time // if seesAllPackets, every packet of the bucket has passed through this host since then
	copies          map[table.HostNum]*copyState
}

// copyState is the state of the copy of a bucket's records on one backup, or on
// the home for records from a period when this host was cut off.
type copyState struct {
	incarnation uint64
	sentAt      time.Time
	ackedAt     time.Time // zero until the receiver has acknowledged a copy
}

// NewReplicator returns a replicator for the records of the router. The function
// idle returns the idle timeout of a service's flows.
func NewReplicator(r *Router, idle func(service string) time.Duration) *Replicator {
	return &Replicator{router: r, idle: idle, buckets: map[BucketID]*bucketState{}, cutOffCopies: map[BucketID]*copyState{}}
}

// Step returns the copies to send now.
func (r *Replicator) Step(now time.Time, v *View) []Copy {
	if v != r.view {
		r.setView(now, v)
	}
	r.budget += copyBytesPerSecond * now.Sub(r.lastStep).Seconds()
	r.budget = min(r.budget, copyBurstBytes)
	r.lastStep = now
	out := r.dueCutOffCopies(now)
	for range r.order {
		if r.budget <= 0 {
			break
		}
		r.lastIndex = (r.lastIndex + 1) % len(r.order)
		out = append(out, r.due(now, r.order[r.lastIndex])...)
	}
	return out
}

// setView updates the tracked buckets to those of a new view.
func (r *Replicator) setView(now time.Time, v *View) {
	r.view = v
	old := r.buckets
	r.buckets, r.order = map[BucketID]*bucketState{}, nil
	if v.self == 0 {
		return
	}
	for name, svc := range v.Table.ByName {
		for i := range svc.Buckets {
			b := &svc.Buckets[i]
			if b.Moving() && b.Home == v.self {
				id := BucketID{name, i}
				r.buckets[id] = old[id].next(now, b)
				r.order = append(r.order, id)
			}
		}
	}
	slices.SortFunc(r.order, compareBuckets)
}

// dueCutOffCopies returns copies, for the homes of moving buckets, of the records from
// a period when this host was cut off.
func (r *Replicator) dueCutOffCopies(now time.Time) []Copy {
	var out []Copy
	for _, id := range r.router.cutOffBuckets.list() {
		b := r.bucket(id)
		if b == nil || b.Moving() && b.Home == r.view.self {
			r.router.cutOffBuckets.remove(id)
			continue
		}
		host, ok := r.view.Table.Hosts[b.Home]
		if !b.Moving() || !ok {
			continue
		}
		p := r.cutOffCopies[id]
		if p == nil || p.incarnation != host.Incarnation {
			p = &copyState{incarnation: host.Incarnation}
			r.cutOffCopies[id] = p
		}
		// Heal adds the bucket again until HealDelay has passed. One copy is enough,
		// because new flows are recorded by the homes in this time.
		if !p.ackedAt.IsZero() && now.Sub(p.ackedAt) < 2*HealDelay {
			r.router.cutOffBuckets.remove(id)
			continue
		}
		if now.Sub(p.sentAt) < copyRetryInterval {
			continue
		}
		p.sentAt = now
		c := r.newCopy(id, host)
		c.Batch.Override = true
		out = append(out, c)
	}
	return out
}

// bucket returns a bucket of the table, or nil if the table does not have it.
func (r *Replicator) bucket(id BucketID) *table.Bucket {
	svc := r.view.Table.ByName[id.Service]
	if svc == nil || id.Index >= len(svc.Buckets) {
		return nil
	}
	return &svc.Buckets[id.Index]
}

func (r *Replicator) newCopy(id BucketID, to table.Host) Copy {
	data := records.Encode(r.export(id))
	r.budget -= float64(len(data) + copyOverheadBytes)
	return Copy{ID: id, To: to.Num, Incarnation: to.Incarnation, Batch: records.Batch{
		Service: id.Service, Bucket: id.Index, Data: data,
	}}
}

// next returns the state for a new version of the bucket. It keeps allPacketsSince
// only if seesAllPackets was and is true and the flows without a record belong to
// the same candidate as before.
func (state *bucketState) next(now time.Time, b *table.Bucket) *bucketState {
	seesAllPackets := b.Phase == table.Move || b.Phase == table.Settle
	n := &bucketState{bucket: *b, seesAllPackets: seesAllPackets, allPacketsSince: now, copies: map[table.HostNum]*copyState{}}
	if state == nil {
		return n
	}
	n.copies = state.copies
	if state.seesAllPackets && seesAllPackets && state.bucket.Unknown() == b.Unknown() {
		n.allPacketsSince = state.allPacketsSince
	}
	return n
}

// due returns the copies of one bucket to send now.
func (r *Replicator) due(now time.Time, id BucketID) []Copy {
	state := r.buckets[id]
	var out []Copy
	for _, n := range state.bucket.Backups {
		host, ok := r.view.Table.Hosts[n]
		if !ok || n == r.view.self {
			continue
		}
		c := state.copies[n]
		if c == nil || c.incarnation != host.Incarnation {
			c = &copyState{incarnation: host.Incarnation}
			state.copies[n] = c
		}
		if !c.due(now, r.idle(id.Service)/2) {
			continue
		}
		c.sentAt = now
		out = append(out, r.newCopy(id, host))
	}
	return out
}

// due reports whether a copy must be sent now: the first time, again if it was
// not acknowledged, and periodically so that the backup does not expire the
// records of quiet flows.
func (c *copyState) due(now time.Time, refresh time.Duration) bool {
	if now.Sub(c.sentAt) < copyRetryInterval {
		return false
	}
	return c.ackedAt.IsZero() || now.Sub(c.ackedAt) >= refresh
}

// export returns the records of a bucket whose backend servers are in the view.
func (r *Replicator) export(id BucketID) []records.Record {
	svc := r.view.Table.ByName[id.Service]
	member := func(n table.BackendNum) bool { return r.view.canDeliver(n, svc) }
	return r.router.Records.Bucket(nil, uint64(id.Index), svc.Mask, member)
}

// Acked records that the receiver has acknowledged a copy.
func (r *Replicator) Acked(now time.Time, c Copy) {
	if p := r.cutOffCopies[c.ID]; p != nil && p.incarnation == c.Incarnation {
		p.ackedAt = now
		r.router.cutOffBuckets.remove(c.ID)
	}
	state := r.buckets[c.ID]
	if state == nil {
		return
	}
	if s := state.copies[c.To]; s != nil && s.incarnation == c.Incarnation {
		s.ackedAt = now
	}
}
