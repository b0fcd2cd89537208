package place

import (
	"maps"
	"slices"

	"greengagequay/internal/table"
)

// servicePlan is the computation of one service's buckets.
type servicePlan struct {
	r            *round
	name         string
	cfg          serviceConfig
	members      []*member
	buckets      []table.Bucket       // buckets of the current placement; read-only
	changed      map[int]table.Bucket // changed buckets by index
	rehomed      map[int]bool         // buckets whose home changes in this round
	phaseChanged map[int]bool         // buckets whose phase changes in this round
	limit        *moveLimit
}

func (r *round) planService(name string) {
	s := &servicePlan{
		r:            r,
		name:         name,
		cfg:          r.planner.config.byService[name],
		members:      r.services[name],
		buckets:      r.in.Current.Buckets[name],
		changed:      map[int]table.Bucket{},
		rehomed:      map[int]bool{},
		phaseChanged: map[int]bool{},
	}
	s.limit = r.planner.limitOf(name, s.cfg.moveRate, r.in.Now)
	if len(s.buckets) == 0 {
		if !s.firstPlacementDue() {
			return
		}
		s.buckets = make([]table.Bucket, s.cfg.buckets)
	}
	s.setWeights()
	if s.isConverged() {
		return
	}
	s.advanceAll()
	s.countBuckets()
	apportion(len(s.buckets), s.members)
	s.replaceUnusable()
	s.balance()
	s.emit()
	s.rememberConverged()
}

// firstPlacementDue reports whether the buckets of a new service are to be placed:
// the service has a usable backend server, and first had one initialWait ago.
func (s *servicePlan) firstPlacementDue() bool {
	if !slices.ContainsFunc(s.members, func(m *member) bool { return m.usable }) {
		return false
	}
	first, ok := s.r.planner.firstUsable[s.name]
	if !ok {
		s.r.planner.firstUsable[s.name] = s.r.in.Now
		return false
	}
	if s.r.in.Now.Sub(first) < initialWait {
		return false
	}
	delete(s.r.planner.firstUsable, s.name)
	return true
}

// bucket returns the bucket with the changes of this round so far.
func (s *servicePlan) bucket(i int) table.Bucket {
	if b, ok := s.changed[i]; ok {
		return b
	}
	return s.buckets[i]
}

func (s *servicePlan) setBucket(i int, b table.Bucket) {
	if b != s.bucket(i) {
		s.changed[i] = b
	}
}

// isBlocked reports whether the bucket's home or phase already changes in this
// round. Hosts are given one such change at a time.
func (s *servicePlan) isBlocked(i int) bool { return s.rehomed[i] || s.phaseChanged[i] }

// owner returns the backend server that takes the bucket's new flows, or in the
// phase Prepare the one that will take them.
func owner(b *table.Bucket) table.BackendNum {
	if b.Phase == table.Prepare {
		return b.Newest()
	}
	return b.Opening()
}

// countBuckets counts the buckets assigned to each member, and marks the members
// that are candidates in the current placement.
func (s *servicePlan) countBuckets() {
	for i := range s.buckets {
		b := &s.buckets[i]
		if c, ok := s.changed[i]; ok {
			b = &c
		}
		if m := s.r.member(owner(b)); m != nil {
			m.assigned++
		}
		for _, n := range s.buckets[i].All() {
			if m := s.r.member(n); m != nil {
				m.referenced = true
			}
		}
	}
}

// emit adds the changed buckets to the delta, up to maxUpdates. A changed home is
// never deferred, because the next round can no longer see that the former home
// lost its records.
func (s *servicePlan) emit() {
	for _, i := range slices.Sorted(maps.Keys(s.changed)) {
		if len(s.r.delta.SetBuckets) >= maxUpdates && !s.rehomed[i] {
			continue
		}
		update := table.BucketUpdate{Service: s.name, Index: i, Count: len(s.buckets), Bucket: s.changed[i]}
		update.Bucket.Since = 0 // set where the delta is applied
		s.r.delta.SetBuckets = append(s.r.delta.SetBuckets, update)
	}
}
