package place

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/table"
)

// weightScale is the number of parts of one unit of weight.
const weightScale = 1000

// Steps of a ramp. Few steps mean few moves.
const rampSteps = 10

// apportion gives each usable member its exact share of the buckets: the
// whole part of its share, and the rest by largest remainder. Of equal
// remainders a member that has more buckets than its whole part goes first,
// so that ties move nothing.
func apportion(total int, members []*member) {
	var sum int64
	var usable []*member
	for _, m := range members {
		m.quota = 0
		if m.usable && m.weight > 0 {
			sum += m.weight
			usable = append(usable, m)
		}
	}
	if sum == 0 {
		return
	}
	left := total
	for _, m := range usable {
		m.quota = int(int64(total) * m.weight / sum)
		left -= m.quota
	}
	remainder := func(m *member) int64 { return int64(total) * m.weight % sum }
	slices.SortFunc(usable, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(remainder(b), remainder(a)),
			cmp.Compare(b.have-b.quota, a.have-a.quota),
			cmp.Compare(a.Num, b.Num),
		)
	})
	for _, m := range usable[:left] {
		m.quota++
	}
}

// weigh sets the members' weights: the configured or announced one, ramped up
// after a start, corrected for load.
func (s *servicePlan) weigh() {
	for _, m := range s.members {
		cfg := s.r.planner.config.backend(m.Backend)
		weight := int64(s.r.planner.config.weightOf(m.Backend)) * weightScale
		if weight == 0 {
			m.usable = false
		}
		m.weight = weight * rampStep(m.Backend, cfg.ramp, s.r.in.Now) / rampSteps
	}
	s.correct()
}

// rampStep returns how far the ramp has come, from 1 to rampSteps.
func rampStep(b table.Backend, ramp time.Duration, now time.Time) int64 {
	age := now.Sub(time.UnixMilli(b.Entered))
	if ramp <= 0 || age >= ramp {
		return rampSteps
	}
	return 1 + max(0, int64(age)*(rampSteps-1)/int64(ramp))
}
