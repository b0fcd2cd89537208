package place

import (
	"maps"
	"slices"

	"greengagequay/internal/table"
)

// servicePlan is the computation of one service's buckets.
type servicePlan struct {
	r       *round
	name    string
	cfg     serviceConfig
	members []*member
	buckets []table.Bucket       // of the placement, not to be changed
	changed map[int]table.Bucket // by index
	rehomed map[int]bool         // buckets whose home changes in this round
	stepped map[int]bool         // buckets whose phase changes in this round
	limit   *limit
}

func (r *round) planService(name string) {
	s := &servicePlan{
		r:       r,
		name:    name,
		cfg:     r.planner.config.byService[name],
		members: r.services[name],
		buckets: r.in.Current.Buckets[name],
		changed: map[int]table.Bucket{},
		rehomed: map[int]bool{},
		stepped: map[int]bool{},
	}
	s.limit = r.planner.limitOf(name, s.cfg.moveRate, r.in.Now)
	if len(s.buckets) == 0 {
		if !s.mayBegin() {
			return
		}
		s.buckets = make([]table.Bucket, s.cfg.buckets)
	}
	s.weigh()
	if s.isQuiet() {
		return
	}
	s.advanceAll()
	s.count()
	apportion(len(s.buckets), s.members)
	s.replaceUnusable()
	s.balance()
	s.emit()
	s.noteQuiet()
}

// mayBegin reports whether the buckets of a new service may be placed.
func (s *servicePlan) mayBegin() bool {
	if !slices.ContainsFunc(s.members, func(m *member) bool { return m.usable }) {
		return false
	}
	first, ok := s.r.planner.first[s.name]
	if !ok {
		s.r.planner.first[s.name] = s.r.in.Now
		return false
	}
	if s.r.in.Now.Sub(first) < firstWait {
		return false
	}
	delete(s.r.planner.first, s.name)
	return true
}

// at returns a bucket as it will be after the round.
func (s *servicePlan) at(i int) table.Bucket {
	if b, ok := s.changed[i]; ok {
		return b
	}
	return s.buckets[i]
}

func (s *servicePlan) set(i int, b table.Bucket) {
	if b != s.at(i) {
		s.changed[i] = b
	}
}

// held reports whether the bucket has had its change of the round. Hosts follow
// one change at a time.
func (s *servicePlan) held(i int) bool { return s.rehomed[i] || s.stepped[i] }

// owner returns the backend server that takes the bucket's new flows, or will
// once a move that has begun is through.
func owner(b *table.Bucket) table.BackendNum {
	if b.Phase == table.Prepare {
		return b.Newest()
	}
	return b.Opening()
}

// count sets how many buckets each member has.
func (s *servicePlan) count() {
	for i := range s.buckets {
		b := &s.buckets[i]
		if c, ok := s.changed[i]; ok {
			b = &c
		}
		if m := s.r.member(owner(b)); m != nil {
			m.have++
		}
		for _, n := range s.buckets[i].All() {
			if m := s.r.member(n); m != nil {
				m.referenced = true
			}
		}
	}
}

// emit adds the changed buckets to the delta, up to the bound of one delta.
// Changed homes are never left out: the host that lost its records is not
// known as such in the next round.
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
