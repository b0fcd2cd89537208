package place

import (
	"slices"

	"greengagequay/internal/table"
)

// spareCandidates is the number of a bucket's candidate positions that moves for
// balance leave free for drains and losses. Moves to a new backend server may use
// them too, because it needs most of the new flows to reach its share.
const spareCandidates = 1

// replaceUnusable moves buckets away from backend servers that take no new flows.
// These moves do not wait for the rate limit, but count against it.
func (s *servicePlan) replaceUnusable() {
	for i := range s.buckets {
		b := s.bucket(i)
		if s.r.isUsable(owner(&b)) || s.isBlocked(i) {
			continue
		}
		to := s.bestFor(&b)
		if to == nil {
			s.emptyBucket(i, b)
			continue
		}
		if s.moveTo(i, b, to) && b.Len() > 0 {
			s.limit.force(s.r.in.Now)
		}
	}
}

// emptyBucket removes the candidate of a stable bucket if it is removable, see
// isRemovable.
func (s *servicePlan) emptyBucket(i int, b table.Bucket) {
	if b.Len() == 1 && !b.Moving() && s.r.isRemovable(b.Opening()) {
		s.setBucket(i, table.Bucket{})
	}
}

// bestFor returns the usable member that should take the bucket: one that is
// already a candidate, else the one with the largest deficit.
func (s *servicePlan) bestFor(b *table.Bucket) *member {
	for _, n := range b.All() {
		if s.r.isUsable(n) {
			return s.r.member(n)
		}
	}
	var best *member
	for _, m := range s.members {
		if m.usable && (best == nil || m.deficit() > best.deficit()) {
			best = m
		}
	}
	return best
}

// balance moves buckets from members above their quota to members below it. It
// first takes buckets that are already in a move and have the receiver as a
// candidate, so that few buckets need a relay.
func (s *servicePlan) balance() {
	receivers := s.belowQuota()
	if len(receivers) == 0 {
		return
	}
	for _, find := range []func(*table.Bucket, []*member) *member{s.receiverAmongCandidates, s.receiverForMoving, s.receiverForStable} {
		if !s.balanceBy(find, receivers) {
			return
		}
	}
}

// balanceBy moves the buckets for which find returns a receiver. It reports false
// once the rate limit allows no more moves.
func (s *servicePlan) balanceBy(find func(*table.Bucket, []*member) *member, receivers []*member) bool {
	for i := range s.buckets {
		b := s.bucket(i)
		from := s.r.member(owner(&b))
		if from == nil || from.deficit() >= 0 || s.isBlocked(i) || !s.mayRetarget(&b) {
			continue
		}
		to := find(&b, receivers)
		if to == nil {
			continue
		}
		if !s.limit.allow(s.r.in.Now) {
			return false
		}
		s.moveTo(i, b, to)
	}
	return true
}

// belowQuota returns the usable members below their quota.
func (s *servicePlan) belowQuota() []*member {
	var list []*member
	for _, m := range s.members {
		if m.usable && m.deficit() > 0 {
			list = append(list, m)
		}
	}
	return list
}

// receiverAmongCandidates returns a receiver that is already a candidate of the
// moving bucket, or nil.
func (s *servicePlan) receiverAmongCandidates(b *table.Bucket, receivers []*member) *member {
	for _, m := range receivers {
		if m.deficit() > 0 && b.Moving() && b.Has(m.Num) {
			return m
		}
	}
	return nil
}

// receiverForStable returns the receiver with the largest deficit if the bucket is
// stable, else nil.
func (s *servicePlan) receiverForStable(b *table.Bucket, receivers []*member) *member {
	if b.Moving() {
		return nil
	}
	return largestDeficit(receivers)
}

// receiverForMoving returns the receiver with the largest deficit, or nil if there
// is none or the bucket has only spareCandidates positions left. A new receiver may
// use these too. The bucket may also be stable.
func (s *servicePlan) receiverForMoving(b *table.Bucket, receivers []*member) *member {
	to := largestDeficit(receivers)
	if to == nil || b.Len() >= table.MaxCandidates-spareCandidates && !to.isNew() {
		return nil
	}
	return to
}

// largestDeficit returns the receiver with the largest deficit, or nil if none is
// below its quota.
func largestDeficit(receivers []*member) *member {
	var best *member
	for _, m := range receivers {
		if m.deficit() > 0 && (best == nil || m.deficit() > best.deficit()) {
			best = m
		}
	}
	return best
}

// mayRetarget reports whether the target of the bucket's move may change now.
// While some hosts may still relay to a former home, two homes may place new
// flows, and both must have the same target.
func (s *servicePlan) mayRetarget(b *table.Bucket) bool {
	switch b.Phase {
	case table.Prepare:
		return false
	case table.Move:
		return s.r.acked(b.Since)
	}
	return true
}

// moveTo begins to move the bucket, or changes the target of a move that has
// begun. It reports whether it did.
func (s *servicePlan) moveTo(i int, b table.Bucket, to *member) bool {
	from := owner(&b)
	var ok bool
	switch b.Phase {
	case table.Stable:
		b, ok = s.fromStable(i, b, to.Num), true
	case table.Prepare:
		b, ok = s.fromPrepare(b, to.Num)
	case table.Move:
		b, ok = s.fromMove(b, to.Num)
	case table.Settle:
		b, ok = s.fromSettle(b, to.Num)
	}
	if !ok {
		return false
	}
	s.setBucket(i, b)
	if m := s.r.member(from); m != nil {
		m.assigned--
	}
	to.assigned++
	to.referenced = true
	return true
}

// fromStable begins the move of a stable bucket. It skips Prepare if the current
// candidate is gone. An empty bucket has no flows and needs no move.
func (s *servicePlan) fromStable(i int, b table.Bucket, to table.BackendNum) table.Bucket {
	if b.Len() == 0 {
		return table.StableAt(to)
	}
	gone := s.r.isGone(b.Opening())
	setCandidates(&b, []table.BackendNum{b.Opening(), to}, b.Opening(), b.Opening())
	b.Phase = table.Prepare
	if gone {
		b.Phase = table.Move
		b.Target = 1
	}
	s.r.homes.fillRoles(&b, bucketKey(s.name, i))
	return b
}

// fromPrepare replaces the newest candidate, which takes no new flows yet, or removes
// it and ends the preparation if to is the current target.
func (s *servicePlan) fromPrepare(b table.Bucket, to table.BackendNum) (table.Bucket, bool) {
	target, fallback := b.Opening(), b.Unknown()
	list := slices.Clone(b.All()[:b.Len()-1])
	switch {
	case to != target:
		list = append(without(list, to), to)
		setCandidates(&b, list, target, fallback)
	case len(list) == 1:
		s.r.homes.addRoles(&b, -1)
		b = table.StableAt(target)
	default:
		setCandidates(&b, list, target, fallback)
		b.Phase = table.Settle
	}
	return b, true
}

// fromMove changes the candidate that takes new flows. Only the home places new
// flows in this phase, so no further phase is needed.
func (s *servicePlan) fromMove(b table.Bucket, to table.BackendNum) (table.Bucket, bool) {
	if !s.r.acked(b.Since) && !s.r.isGone(b.Opening()) {
		return b, false
	}
	if b.Has(to) {
		b.Target = uint8(slices.Index(b.All(), to))
		return b, true
	}
	n := b.Len()
	if n == table.MaxCandidates {
		return b, false
	}
	b.Candidates[n] = to
	b.Target = uint8(n)
	return b, true
}

// fromSettle begins another move, in the phase Move if the current candidate is
// gone, else in Prepare. The current candidate keeps the flows without a record.
func (s *servicePlan) fromSettle(b table.Bucket, to table.BackendNum) (table.Bucket, bool) {
	current := b.Opening()
	list := without(b.All(), to)
	if len(list) == table.MaxCandidates {
		return b, false
	}
	setCandidates(&b, append(list, to), current, current)
	b.Phase = table.Prepare
	if s.r.isGone(current) {
		b.Phase = table.Move
		b.Target = uint8(b.Len() - 1)
	}
	return b, true
}

// without returns a copy of the list without n.
func without(list []table.BackendNum, n table.BackendNum) []table.BackendNum {
	return slices.DeleteFunc(slices.Clone(list), func(c table.BackendNum) bool { return c == n })
}
