package place

import (
	"time"

	"greengagequay/internal/table"
)

// partitionHold is how long the planner waits after the end of a partition. In that
// time the hosts of the zone report to the homes that packets bypassed the homes.
const partitionHold = 10 * time.Second

// recordPartition records the time if a zone is partitioned.
func (r *round) recordPartition() {
	for _, partitioned := range r.partitionedZones {
		if partitioned {
			r.planner.lastPartition = r.in.Now
		}
	}
}

// homesSeeAllZones reports whether no zone has been partitioned for
// partitionHold. During a partition the hosts of the zone serve flows that no home
// knows.
func (r *round) homesSeeAllZones() bool {
	last := r.planner.lastPartition
	return last.IsZero() || r.in.Now.Sub(last) >= partitionHold
}

// adoptKeptRecords puts each stable bucket for which a formerly cut-off host reported
// records into Settle, with that host as its home, so that the flows that the host
// placed stay on their backend servers.
func (s *servicePlan) adoptKeptRecords() {
	for i := range s.buckets {
		status := s.r.keptStatuses[bucketID{s.name, i}]
		b := s.buckets[i]
		if status == nil || b.Moving() || b.Len() != 1 || s.r.hosts[status.Home] == nil {
			continue
		}
		b.Phase = table.Settle
		b.Home = status.Home
		s.r.homes.fillRoles(&b, bucketKey(s.name, i))
		s.setBucket(i, b)
		s.rehomed[i] = true
	}
}
