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

// HealDelay is how long a host still relays packets to the substitutes for
// unreachable homes after its lease has been renewed. The substitutes have the
// records of the flows, and send them to the homes in this time. Flows without a
// record are placed by the table.
const HealDelay = 2 * time.Second

// BucketID identifies a bucket.
type BucketID struct {
	Service string
	Index   int
}

// bucketSet holds the buckets for which a cut-off host may have chosen backend
// servers other than the table's. The records of these buckets remain valid once
// the host is no longer cut off. It is safe for concurrent use.
type bucketSet struct {
	mu      sync.RWMutex
	buckets map[BucketID]struct{}
}

func (s *bucketSet) add(service string, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buckets == nil {
		s.buckets = map[BucketID]struct{}{}
	}
	s.buckets[BucketID{service, index}] = struct{}{}
}

func (s *bucketSet) remove(id BucketID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.buckets, id)
}

func (s *bucketSet) has(service string, index int) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.buckets[BucketID{service, index}]
	return ok
}

func (s *bucketSet) any() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.buckets) > 0
}

// list returns the buckets ordered by service and index.
func (s *bucketSet) list() []BucketID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []BucketID
	for id := range s.buckets {
		all = append(all, id)
	}
	slices.SortFunc(all, compareBuckets)
	return all
}

func compareBuckets(a, b BucketID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Index, b.Index))
}

// Heal is called after the host's lease has been renewed, while the host still
// relays as if it were cut off. It marks the buckets for which this host chose
// other backend servers than the table does, and the moving buckets with another
// home, as that home did not see the packets that this host saw. Views that are
// made afterwards respect the records of these buckets.
func (r *Router) Heal(v *View) {
	for name, svc := range v.Table.ByName {
		member := func(n table.BackendNum) bool { return v.canDeliver(n, svc) }
		for i := range svc.Buckets {
			b := &svc.Buckets[i]
			if b.Moving() && b.Home != v.self {
				r.cutOffBuckets.add(name, i)
				continue
			}
			for _, rec := range r.Records.Bucket(nil, uint64(i), svc.Mask, member) {
				if rec.Backend != b.Unknown() {
					r.cutOffBuckets.add(name, i)
				}
			}
		}
	}
}

// decideCutOff decides on a packet while the host is cut off from the control quorum.
// All hosts that reach each other choose the same substitute for a home that
// they do not reach.
func (r *Router) decideCutOff(now records.Seconds, v *View, d *decision) Verdict {
	if home := v.reachableHome(d); home != v.self {
		return v.relayToHome(d, home)
	}
	n, _, ok := r.Records.Lookup(d.flow, now)
	if !ok && v.healing {
		return r.decideByPhase(now, v, d) // all hosts place new flows by the same table again
	}
	if !ok {
		return r.placeCutOff(now, v, d)
	}
	if !v.canDeliver(n, d.svc) {
		return d.verdict(Reset, LostBackend)
	}
	if !v.reachesBackend(n) && !v.healing {
		return d.verdict(Drop, CutOff)
	}
	return d.forward(n)
}

// reachableHome returns the home of the bucket if it is reachable, else its first
// reachable backup, else a reachable host chosen by the bucket's index.
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

func (v *View) reachesBackend(n table.BackendNum) bool {
	b, ok := v.Destination(n)
	return ok && v.zones[b.Zone]
}

// placeCutOff decides on a packet of a flow without a record. If the packet does
// not open a flow, the flow may exist on the other side of the network
// partition, so it is never moved.
func (r *Router) placeCutOff(now records.Seconds, v *View, d *decision) Verdict {
	if !d.packet.Opens() {
		if n := d.bucket.Unknown(); v.canDeliver(n, d.svc) && v.reachesBackend(n) {
			return d.forward(n)
		}
		return d.verdict(Drop, CutOff)
	}
	n := d.bucket.Opening()
	if !v.canDeliver(n, d.svc) || !v.reachesBackend(n) {
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
// with the highest score for the flow (rendezvous hashing), or 0 if there is
// none.
func (v *View) chooseReachable(d *decision) table.BackendNum {
	var best table.BackendNum
	var bestScore uint64
	for n, b := range v.Table.Backends {
		if b.Service != d.svc.Name || b.State != model.Ready || !v.zones[b.Zone] {
			continue
		}
		score := (d.flow ^ uint64(n)*goldenRatio64) * goldenRatio64
		score ^= score >> 29
		if score > bestScore || score == bestScore && n > best {
			best, bestScore = n, score
		}
	}
	return best
}
