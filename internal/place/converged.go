package place

import "greengagequay/internal/table"

// convergedState identifies the inputs for which the placement of a service has
// converged: every bucket is stable on a usable backend server and each member
// has its quota. The service needs no changes while buckets and weights stay the
// same.
type convergedState struct {
	// buckets is the address of the service's first bucket. It differs after a
	// change, because buckets that a view shares are copied before they change.
	buckets *table.Bucket
	weights uint64 // weightHash of the members
}

// isConverged reports whether the service had converged and its buckets and
// weights are unchanged since. If so, it marks the usable members as referenced.
func (s *servicePlan) isConverged() bool {
	c, ok := s.r.planner.converged[s.name]
	if !ok || len(s.r.keptStatuses) > 0 || c.buckets != &s.buckets[0] || c.weights != s.weightHash() {
		return false
	}
	for _, m := range s.members {
		m.referenced = m.usable
	}
	return true
}

// rememberConverged stores a convergedState if the service has converged, else
// it deletes the previous one.
func (s *servicePlan) rememberConverged() {
	delete(s.r.planner.converged, s.name)
	if len(s.changed) > 0 {
		return
	}
	for _, m := range s.members {
		if m.usable && m.assigned != m.quota {
			return
		}
	}
	for i := range s.buckets {
		if s.buckets[i].Moving() || !s.r.isUsable(s.buckets[i].Opening()) {
			return
		}
	}
	s.r.planner.converged[s.name] = convergedState{buckets: &s.buckets[0], weights: s.weightHash()}
}

// weightHash returns a hash of the usable members and their weights.
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
