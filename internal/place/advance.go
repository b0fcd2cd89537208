package place

import (
	"slices"

	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// advanceAll adopts kept records and advances every bucket that moves.
func (s *servicePlan) advanceAll() {
	s.adoptKeptRecords()
	for i := range s.buckets {
		if !s.buckets[i].Moving() {
			continue
		}
		s.r.homes.addRoles(&s.buckets[i], 1)
	}
	for i := range s.buckets {
		if !s.buckets[i].Moving() {
			continue
		}
		b := s.advance(i, s.buckets[i])
		if b.Phase != s.buckets[i].Phase {
			s.phaseChanged[i] = true
		}
		s.setBucket(i, b)
	}
}

func (s *servicePlan) advance(i int, b table.Bucket) table.Bucket {
	s.markSynced(i, &b)
	home := b.Home
	s.r.homes.repair(&b, bucketKey(s.name, i))
	if b.Home != home {
		s.rehomed[i] = true
		return b // the phase may change in a later round, once hosts have the new home
	}
	if next, done := s.removeGoneCandidates(b); done {
		return next
	}
	switch b.Phase {
	case table.Prepare:
		return s.advancePrepare(b)
	case table.Move:
		return s.advanceMove(i, b)
	case table.Settle:
		return s.advanceSettle(i, b)
	}
	return b
}

// status returns the report of the bucket's current home on the bucket's current
// state, or nil if there is none.
func (s *servicePlan) status(i int, b *table.Bucket) *records.BucketStatus {
	status := s.r.statuses[bucketID{s.name, i}]
	if status == nil || status.Since != b.Since || status.Home != b.Home {
		return nil
	}
	return status
}

// markSynced marks the backups that have acknowledged a copy of every record,
// as reported by the home.
func (s *servicePlan) markSynced(i int, b *table.Bucket) {
	status := s.status(i, b)
	if status == nil {
		return
	}
	for _, c := range status.Copies {
		h := s.r.hosts[c.Backup]
		j := slices.Index(b.Backups[:], c.Backup)
		if j >= 0 && h != nil && h.Incarnation == c.Incarnation {
			b.Synced |= 1 << j
		}
	}
}

// removeGoneCandidates removes candidates that are removable, see isRemovable, and
// take no new flows. It reports true if this ends the bucket's move.
func (s *servicePlan) removeGoneCandidates(b table.Bucket) (table.Bucket, bool) {
	for _, n := range slices.Clone(b.All()) {
		if b.Len() > 1 && n != b.Opening() && s.r.isRemovable(n) {
			removeCandidate(&b, n)
		}
	}
	// In Settle the home may still have records of backend servers that are no
	// longer candidates. The home reports when it has none.
	if b.Len() == 1 && b.Phase != table.Settle {
		s.r.homes.addRoles(&b, -1)
		return table.StableAt(b.Opening()), true
	}
	return b, false
}

// advancePrepare lets the newest candidate take new flows once every host
// relays the bucket. If the current candidate is gone, it does not wait, because
// then no flow can be sent to both candidates.
func (s *servicePlan) advancePrepare(b table.Bucket) table.Bucket {
	if b.Home == 0 || !s.r.isUsable(b.Newest()) {
		return b
	}
	if s.r.acked(b.Since) || s.r.isGone(b.Opening()) {
		b.Phase = table.Move
		b.Target = uint8(b.Len() - 1)
	}
	return b
}

// advanceMove enters Settle once the home is done, no zone has been partitioned
// recently, and every host has acknowledged the current state.
func (s *servicePlan) advanceMove(i int, b table.Bucket) table.Bucket {
	if s.homeDone(i, &b) && s.r.homesSeeAllZones() && s.r.acked(b.Since) {
		b.Phase = table.Settle
		b.Fallback = b.Target
	}
	return b
}

func (s *servicePlan) advanceSettle(i int, b table.Bucket) table.Bucket {
	if s.homeDone(i, &b) {
		s.r.homes.addRoles(&b, -1)
		return table.StableAt(b.Opening())
	}
	return b
}

// homeDone reports whether the home has completed the bucket's current phase.
func (s *servicePlan) homeDone(i int, b *table.Bucket) bool {
	status := s.status(i, b)
	return status != nil && status.Done
}

// removeCandidate removes a candidate that takes no new flows. If it was the
// candidate for flows without a record, these go to the same candidate as new
// flows.
func removeCandidate(b *table.Bucket, n table.BackendNum) {
	target, fallback := b.Opening(), b.Unknown()
	if fallback == n {
		fallback = target
	}
	kept := slices.DeleteFunc(slices.Clone(b.All()), func(c table.BackendNum) bool { return c == n })
	setCandidates(b, kept, target, fallback)
}

// setCandidates replaces the candidates, and sets Target and Fallback to the
// positions of target and fallback in the list. One that is not in the list is
// replaced by the first candidate.
func setCandidates(b *table.Bucket, list []table.BackendNum, target, fallback table.BackendNum) {
	b.Candidates = [table.MaxCandidates]table.BackendNum{}
	copy(b.Candidates[:], list)
	b.Target = uint8(max(0, slices.Index(list, target)))
	b.Fallback = uint8(max(0, slices.Index(list, fallback)))
}
