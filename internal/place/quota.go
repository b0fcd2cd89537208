package place

import (
	"cmp"
	"slices"
	"time"

	"greengagequay/internal/table"
)

// weightScale is the number of parts into which one unit of weight is divided.
const weightScale = 1000

// rampSteps is the number of steps of a ramp. Fewer steps cause fewer moves.
const rampSteps = 10

// apportion sets the quotas by the largest remainder method: each usable member
// gets the whole part of its share by weight, and the buckets that are left go to
// the largest remainders. Among equal remainders, a member that has more buckets
// above its whole part comes first, so that ties cause no moves.
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
			cmp.Compare(b.assigned-b.quota, a.assigned-a.quota),
			cmp.Compare(a.Num, b.Num),
		)
	})
	for _, m := range usable[:left] {
		m.quota++
	}
}

// setWeights sets the members' weights: the configured or announced weight,
// ramped up after a start and corrected for load. A member with a weight of 0 is
// not usable.
func (s *servicePlan) setWeights() {
	for _, m := range s.members {
		cfg := s.r.planner.config.backend(m.Backend)
		weight := int64(s.r.planner.config.weightOf(m.Backend)) * weightScale
		if weight == 0 {
			m.usable = false
		}
		m.weight = weight * rampStep(m.Backend, cfg.ramp, s.r.in.Now) / rampSteps
	}
	s.correctForLoad()
}

// rampStep returns the current step of the ramp, from 1 to rampSteps.
func rampStep(b table.Backend, ramp time.Duration, now time.Time) int64 {
	age := now.Sub(time.UnixMilli(b.Entered))
	if ramp <= 0 || age >= ramp {
		return rampSteps
	}
	return 1 + max(0, int64(age)*(rampSteps-1)/int64(ramp))
}
