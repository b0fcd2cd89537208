package place

import "greengagequay/internal/table"

// quiet is what the planner remembers of a service in which nothing was to be
// done: every bucket is stable on a usable backend server and the shares are
// exact. Nothing is to be done again while buckets and weights are the same.
type quiet struct {
	buckets *table.Bucket // the first of the placement's, which are not changed in place
	weights uint64        // hash of the members
}

// isQuiet reports whether nothing is to be done since the last round.
func (s *servicePlan) isQuiet() bool {
	q, ok := s.r.planner.quiet[s.name]
	if !ok || len(s.r.kept) > 0 || q.buckets != &s.buckets[0] || q.weights != s.weightHash() {
		return false
	}
	for _, m := range s.members {
		m.referenced = m.usable
	}
	return true
}

// noteQuiet remembers whether nothing is to be done.
func (s *servicePlan) noteQuiet() {
	delete(s.r.planner.quiet, s.name)
	if len(s.changed) > 0 {
		return
	}
	for _, m := range s.members {
		if m.usable && m.have != m.quota {
			return
		}
	}
	for i := range s.buckets {
		if s.buckets[i].Moving() || !s.r.isUsable(s.buckets[i].Opening()) {
			return
		}
	}
	s.r.planner.quiet[s.name] = quiet{buckets: &s.buckets[0], weights: s.weightHash()}
}

// weightHash identifies the usable members and their weights.
func (s *servicePlan) weightHash() uint64 {
	h := uint64(goldenRatio)
	for _, m := range s.members {
		if m.usable {
			h = mix(h ^ uint64(m.Num))
			h = mix(h ^ uint64(m.weight))
		}
	}
	return h
}
