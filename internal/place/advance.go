package place

import (
	"slices"

	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// advanceAll brings every move that has begun one step further.
func (s *servicePlan) advanceAll() {
	s.keepAll()
	for i := range s.buckets {
		if !s.buckets[i].Moving() {
			continue
		}
		s.r.homes.note(&s.buckets[i], 1)
	}
	for i := range s.buckets {
		if !s.buckets[i].Moving() {
			continue
		}
		b := s.advance(i, s.buckets[i])
		if b.Phase != s.buckets[i].Phase {
			s.stepped[i] = true
		}
		s.set(i, b)
	}
}

func (s *servicePlan) advance(i int, b table.Bucket) table.Bucket {
	s.noteCopies(i, &b)
	home := b.Home
	s.r.homes.repair(&b, bucketKey(s.name, i))
	if b.Home != home {
		s.rehomed[i] = true
		return b // a phase changes only once the change of home is in force
	}
	if next, done := s.forget(b); done {
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

// status returns what the bucket's home reported about the bucket as it is in
// the placement, or nil.
func (s *servicePlan) status(i int, b *table.Bucket) *records.BucketStatus {
	status := s.r.statuses[bucketID{s.name, i}]
	if status == nil || status.Since != b.Since || status.Home != b.Home {
		return nil
	}
	return status
}

// noteCopies marks the backups that have acknowledged a copy of every record.
func (s *servicePlan) noteCopies(i int, b *table.Bucket) {
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

// forget removes lost backend servers whose flows have been reset. It reports
// true if the bucket's move is over by that.
func (s *servicePlan) forget(b table.Bucket) (table.Bucket, bool) {
	for _, n := range slices.Clone(b.All()) {
		if b.Len() > 1 && n != b.Opening() && s.r.isForgotten(n) {
			removeCandidate(&b, n)
		}
	}
	// In Settle the home may have records of backend servers that are not
	// candidates, and reports when it has none.
	if b.Len() == 1 && b.Phase != table.Settle {
		s.r.homes.note(&b, -1)
		return table.StableAt(b.Opening()), true
	}
	return b, false
}

// advancePrepare lets the newest candidate take new flows once every host
// relays the bucket. It need not wait for that if the present one is lost,
// as none of its flows can be sent two ways.
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

func (s *servicePlan) advanceMove(i int, b table.Bucket) table.Bucket {
	if s.done(i, &b) && s.r.sawAll() && s.r.acked(b.Since) {
		b.Phase = table.Settle
		b.Fallback = b.Target
	}
	return b
}

func (s *servicePlan) advanceSettle(i int, b table.Bucket) table.Bucket {
	if s.done(i, &b) {
		s.r.homes.note(&b, -1)
		return table.StableAt(b.Opening())
	}
	return b
}

// done reports whether the home has done what the bucket's phase waits for.
func (s *servicePlan) done(i int, b *table.Bucket) bool {
	status := s.status(i, b)
	return status != nil && status.Done
}

// removeCandidate removes a candidate that takes no new flows. If it had the
// flows without a record, they go where new flows go.
func removeCandidate(b *table.Bucket, n table.BackendNum) {
	target, fallback := b.Opening(), b.Unknown()
	if fallback == n {
		fallback = target
	}
	kept := slices.DeleteFunc(slices.Clone(b.All()), func(c table.BackendNum) bool { return c == n })
	setCandidates(b, kept, target, fallback)
}

func setCandidates(b *table.Bucket, list []table.BackendNum, target, fallback table.BackendNum) {
	b.Candidates = [table.MaxCandidates]table.BackendNum{}
	copy(b.Candidates[:], list)
	b.Target = uint8(max(0, slices.Index(list, target)))
	b.Fallback = uint8(max(0, slices.Index(list, fallback)))
}
