package route

import (
	"sync"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

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

// Kept returns the buckets whose records from a time when the host was cut off
// count before the table.
func (r *Router) Kept() []BucketID {
	r.kept.mu.RLock()
	defer r.kept.mu.RUnlock()
	var all []BucketID
	for b := range r.kept.buckets {
		all = append(all, b)
	}
	return all
}

// cutOff decides on a packet while the host is cut off from the control
// quorum. All hosts that reach each other choose the same stand-in for a home
// that they do not reach.
func (r *Router) cutOff(now records.Seconds, v *View, d *decision) Verdict {
	if home := v.reachableHome(d); home != v.self {
		return v.toHome(d, home)
	}
	n, _, ok := r.Records.Lookup(d.flow, now)
	if !ok {
		return r.placeCutOff(now, v, d)
	}
	if !v.delivers(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	if !v.reaches(n) {
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
