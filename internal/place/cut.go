package place

import (
	"time"

	"greengagequay/internal/table"
)

// cutHold is how long after a cut the planner waits for the hosts of the zone
// to tell the homes that packets passed them by.
const cutHold = 10 * time.Second

// noteCut remembers when a zone was last cut off.
func (r *round) noteCut() {
	for _, cut := range r.cutZones {
		if cut {
			r.planner.lastCut = r.in.Now
		}
	}
}

// sawAll reports whether homes have seen the packets of all zones of late.
// While a zone is cut off, its hosts serve flows of which no home knows.
func (r *round) sawAll() bool {
	last := r.planner.lastCut
	return last.IsZero() || r.in.Now.Sub(last) >= cutHold
}

// keepAll makes a host that was cut off the home of the buckets of which it
// has records, so that the flows it placed stay where they are.
func (s *servicePlan) keepAll() {
	for i := range s.buckets {
		status := s.r.kept[bucketID{s.name, i}]
		b := s.buckets[i]
		if status == nil || b.Moving() || b.Len() != 1 || s.r.hosts[status.Home] == nil {
			continue
		}
		b.Phase = table.Settle
		b.Home = status.Home
		s.r.homes.fill(&b, bucketKey(s.name, i))
		s.set(i, b)
		s.rehomed[i] = true
	}
}
