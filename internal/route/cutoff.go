package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// HealDelay is how long a host whose lease is back still asks the stand-ins of
// the cut for their records, while they pass them on. Flows without a record
// are decided on by the table.
const HealDelay = 2 * time.Second

// BucketID names a bucket.
type BucketID struct {
	Service string
	Index   int
}

// keptSet holds the buckets for which a cut-off host chose backend servers
// other than the table's. Their records count after the cut.
type keptSet struct {
	mu      sync.RWMutex
	buckets map[BucketID]struct{}
}

func (k *keptSet) add(service string, index int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.buckets == nil {
		k.buckets = map[BucketID]struct{}{}
	}
	k.buckets[BucketID{service, index}] = struct{}{}
}

func (k *keptSet) remove(id BucketID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.buckets, id)
}

func (k *keptSet) has(service string, index int) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	_, ok := k.buckets[BucketID{service, index}]
	return ok
}

func (k *keptSet) any() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return len(k.buckets) > 0
}

// list returns the buckets in order.
func (k *keptSet) list() []BucketID {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var all []BucketID
	for id := range k.buckets {
		all = append(all, id)
	}
	slices.SortFunc(all, compareBuckets)
	return all
}

func compareBuckets(a, b BucketID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
}

// Heal is called while the host's lease is back, but the host still acts as if
// it were cut off. It marks the buckets for which this host chose other backend
// servers than the table does, and those whose home did not see what this host
// saw. Views made from then on honour these records.
func (r *Router) Heal(v *View) {
	for name, svc := range v.Table.ByName {
		member := func(n table.BackendNum) bool { return v.delivers(n, svc) }
		for i := range svc.Buckets {
			b := &svc.Buckets[i]
			if b.Moving() && b.Home != v.self {
				r.kept.add(name, i)
				continue
			}
			for _, rec := range r.Records.Bucket(nil, uint64(i), svc.Mask, member) {
				if rec.Backend != b.Unknown() {
					r.kept.add(name, i)
				}
			}
		}
	}
}

// cutOff decides on a packet while the host is cut off from the control
// quorum. All hosts that reach each other choose the same stand-in for a home
// that they do not reach.
func (r *Router) cutOff(now records.Seconds, v *View, d *decision) Verdict {
	if home := v.reachableHome(d); home != v.self {
		return v.toHome(d, home)
	}
	n, _, ok := r.Records.Lookup(d.flow, now)
	if !ok && v.healing {
		return r.byBucket(now, v, d) // all hosts decide alike on new flows again
	}
	if !ok {
		return r.placeCutOff(now, v, d)
	}
	if !v.delivers(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	if !v.reaches(n) && !v.healing {
		return d.verdict(Drop, CutOff)
	}
	return d.forward(n)
}

// reachableHome returns the home of the bucket, or the host that stands in for
// it.
func (v *View) reachableHome(d *decision) table.HostNum {
	for _, n := range append([]table.HostNum{d.bucket.Home}, d.bucket.Backups[:]...) {
		if n != 0 && v.reachesHost(n) {
			return n
		}
	}
	return v.reachable[d.index%uint64(len(v.reachable))]
}

func (v *View) reachesHost(n table.HostNum) bool {
	for _, h := range v.reachable {
		if h == n {
			return true
		}
	}
	return false
}

func (v *View) reaches(n table.BackendNum) bool {
	b, ok := v.Destination(n)
	return ok && v.zones[b.Zone]
}

// placeCutOff decides on a flow without a record. A flow that is not opening
// may be alive on the far side, so it is never moved.
func (r *Router) placeCutOff(now records.Seconds, v *View, d *decision) Verdict {
	if !d.packet.Opens() {
		if n := d.bucket.Unknown(); v.delivers(n, d.svc) && v.reaches(n) {
			return d.forward(n)
		}
		return d.verdict(Drop, CutOff)
	}
	n := d.bucket.Opening()
	if !v.delivers(n, d.svc) || !v.reaches(n) {
		n = v.chooseReachable(d)
	}
	if n == 0 {
		return d.verdict(Reset, NoBackend)
	}
	if !r.Records.Put(records.Record{Flow: d.flow, Backend: n}, records.Confirmed, now) {
		return d.verdict(Drop, Full)
	}
	return d.forward(n)
}

// chooseReachable returns the reachable, ready backend server of the service
// with the highest score for the flow (rendezvous hashing), 0 if there is none.
func (v *View) chooseReachable(d *decision) table.BackendNum {
	var best table.BackendNum
	var bestScore uint64
	for n, b := range v.Table.Backends {
		if b.Service != d.svc.Name || b.State != model.Ready || !v.zones[b.Zone] {
			continue
		}
		score := (d.flow ^ uint64(n)*golden) * golden
		score ^= score >> 29
		if score > bestScore || score == bestScore && n > best {
			best, bestScore = n, score
		}
	}
	return best
}
