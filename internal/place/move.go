package place

import (
	"slices"

	"greengagequay/internal/table"
)

// spareCandidates is the number of places in a bucket's list that moves for
// balance leave free for drains and losses. A backend server that has just come
// may use them too: it needs most of the new flows to fill up.
const spareCandidates = 1

// replaceUnusable gives buckets whose backend server drains or is lost another
// one. These moves do not wait for the bound on moves, but count against it.
func (s *servicePlan) replaceUnusable() {
	for i := range s.buckets {
		b := s.at(i)
		if s.r.isUsable(owner(&b)) || s.held(i) {
			continue
		}
		to := s.bestFor(&b)
		if to == nil {
			s.release(i, b)
			continue
		}
		if s.moveTo(i, b, to) && b.Len() > 0 {
			s.limit.spend(s.r.in.Now)
		}
	}
}

// release empties a bucket of which only a forgotten backend server is left.
func (s *servicePlan) release(i int, b table.Bucket) {
	if b.Len() == 1 && !b.Moving() && s.r.isForgotten(b.Opening()) {
		s.set(i, table.Bucket{})
	}
}

// bestFor returns the usable member that should take the bucket: one that is
// a candidate already, else the one that lacks most of its share.
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

// balance moves buckets from members that have more than their quota to those
// that have less. It prefers buckets that the receiver had before, then those
// that move already, so that few buckets need a relay.
func (s *servicePlan) balance() {
	receivers := s.lacking()
	if len(receivers) == 0 {
		return
	}
	for _, find := range []func(*table.Bucket, []*member) *member{s.formerOwner, s.forMoving, s.forStable} {
		if !s.balanceBy(find, receivers) {
			return
		}
	}
}

// balanceBy moves the buckets for which find names a receiver. It reports
// false once no more moves may start.
func (s *servicePlan) balanceBy(find func(*table.Bucket, []*member) *member, receivers []*member) bool {
	for i := range s.buckets {
		b := s.at(i)
		from := s.r.member(owner(&b))
		if from == nil || from.deficit() >= 0 || s.held(i) || !s.mayRetarget(&b) {
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

// lacking returns the members below their quota.
func (s *servicePlan) lacking() []*member {
	var list []*member
	for _, m := range s.members {
		if m.usable && m.deficit() > 0 {
			list = append(list, m)
		}
	}
	return list
}

func (s *servicePlan) formerOwner(b *table.Bucket, receivers []*member) *member {
	for _, m := range receivers {
		if m.deficit() > 0 && b.Moving() && b.Has(m.Num) {
			return m
		}
	}
	return nil
}

func (s *servicePlan) forStable(b *table.Bucket, receivers []*member) *member {
	if b.Moving() {
		return nil
	}
	return neediest(receivers)
}

func (s *servicePlan) forMoving(b *table.Bucket, receivers []*member) *member {
	to := neediest(receivers)
	if to == nil || b.Len() >= table.MaxCandidates-spareCandidates && !to.isNew() {
		return nil
	}
	return to
}

func neediest(receivers []*member) *member {
	var best *member
	for _, m := range receivers {
		if m.deficit() > 0 && (best == nil || m.deficit() > best.deficit()) {
			best = m
		}
	}
	return best
}

// mayRetarget reports whether a move of the bucket may change its direction
// now. While hosts may still relay to a former home, two homes would place new
// flows, so that both must have the same target.
func (s *servicePlan) mayRetarget(b *table.Bucket) bool {
	switch b.Phase {
	case table.Prepare:
		return false
	case table.Move:
		return s.r.acked(b.Since)
	}
	return true
}

// moveTo begins to move the bucket, or changes the direction of a move that
// has begun. It reports whether it did.
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
	s.set(i, b)
	if m := s.r.member(from); m != nil {
		m.have--
	}
	to.have++
	to.referenced = true
	return true
}

func (s *servicePlan) fromStable(i int, b table.Bucket, to table.BackendNum) table.Bucket {
	if b.Len() == 0 {
		return table.StableAt(to)
	}
	lost := s.r.isGone(b.Opening())
	setCandidates(&b, []table.BackendNum{b.Opening(), to}, b.Opening(), b.Opening())
	b.Phase = table.Prepare
	if lost {
		b.Phase = table.Move
		b.Target = 1
	}
	s.r.homes.fill(&b, bucketKey(s.name, i))
	return b
}

// fromPrepare replaces the newest candidate, which has no flows yet.
func (s *servicePlan) fromPrepare(b table.Bucket, to table.BackendNum) (table.Bucket, bool) {
	target, fallback := b.Opening(), b.Unknown()
	list := slices.Clone(b.All()[:b.Len()-1])
	switch {
	case to != target:
		list = append(without(list, to), to)
		setCandidates(&b, list, target, fallback)
	case len(list) == 1:
		s.r.homes.note(&b, -1)
		b = table.StableAt(target)
	default:
		setCandidates(&b, list, target, fallback)
		b.Phase = table.Settle
	}
	return b, true
}

// fromMove changes the candidate that takes new flows. The home alone places
// them, so this is one step.
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

// fromSettle begins another move. Hosts that forward by copied records relay
// again once they have acknowledged it.
func (s *servicePlan) fromSettle(b table.Bucket, to table.BackendNum) (table.Bucket, bool) {
	present := b.Opening()
	list := without(b.All(), to)
	if len(list) == table.MaxCandidates {
		return b, false
	}
	setCandidates(&b, append(list, to), present, present)
	b.Phase = table.Prepare
	if s.r.isGone(present) {
		b.Phase = table.Move
		b.Target = uint8(b.Len() - 1)
	}
	return b, true
}

// without returns a copy of the list without n.
func without(list []table.BackendNum, n table.BackendNum) []table.BackendNum {
	return slices.DeleteFunc(slices.Clone(list), func(c table.BackendNum) bool { return c == n })
}
