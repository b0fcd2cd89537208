package place

import (
	"maps"
	"math"
	"slices"
	"time"

	"greengagequay/internal/table"
)

// Parameters of the correction of quotas by load. A member's weight is multiplied by
// its factor. The imbalance is the part by which a member's flows exceed its share of
// all flows by weight: 0.1 means 10% above the share.
const (
	balanceInterval = 5 * time.Second // time between evaluations of a service's load
	factorScale     = 1000            // integer that stands for a factor of 1
	// thresholdAtFullWeight is the imbalance above which a correction justifies
	// its moves at a balance.imbalance_weight of 1. The threshold is inversely
	// proportional to that weight.
	thresholdAtFullWeight = 0.01
	// gainAtFullWeight is the change of a factor per unit of imbalance at a
	// balance.imbalance_weight of 1.
	gainAtFullWeight = 8
	minFactor        = 0.5
	maxFactor        = 1.5
	// minFactorStep is the smallest change that is applied to a factor. Smaller
	// ones would move buckets back and forth as the number of flows fluctuates.
	minFactorStep = 0.08
	// smoothing is the weight of a newly computed factor in the exponential
	// moving average. With a larger one, the load of flows that end within a few
	// seconds oscillates, because it fully follows each correction before the next
	// evaluation.
	smoothing = 0.2
	// noiseDeviations is the imbalance, in standard deviations of the number of
	// randomly placed flows, below which no correction begins.
	noiseDeviations = 2
)

// Parameters of the stronger correction that applies for boostTime after the
// number of usable members has changed, so that a backend server that starts
// without flows gets most of the new ones.
const (
	boostTime      = 90 * time.Second
	boostGain      = 2 // multiple of the usual gain
	boostMinFactor = 0
	boostMaxFactor = 2
)

// Parameters for claims, the loads that backend servers announce.
const (
	claimMaxAge     = 30 * time.Second // an unchanged claim stops lowering the factor after this time
	claimEnterRatio = 1.25             // multiple of the median above which a claim starts to lower the factor
	claimLeaveRatio = 1.10             // multiple of the median below which a claim stops lowering the factor
	claimFactor     = 0.9              // multiplies the factor of a member whose claim lowers it; a claim has no other effect
	minClaimants    = 3                // with fewer claims, a single false one could shift the median
)

// loadState is the planner's state for the load correction of a service.
type loadState struct {
	evaluatedAt time.Time
	memberCount int       // number of usable members at evaluatedAt
	changedAt   time.Time // when memberCount last changed
	correcting  bool      // a correction is in progress
	factors     map[table.BackendNum]memberFactor
	claims      map[table.BackendNum]claim
}

// memberFactor is the factor of a backend server. The applied factor is set to
// the smoothed one once they differ by at least minFactorStep.
type memberFactor struct{ applied, smoothed float64 }

// claim is the load that a backend server announced last.
type claim struct {
	value        float64
	since        time.Time // time of the last change
	lowersFactor bool      // whether claimFactor applies to the member
}

// correctForLoad scales the members' weights by the load that entry hosts
// counted, and to a limited extent by the announced load, which may be delayed,
// frozen or false.
func (s *servicePlan) correctForLoad() {
	if s.cfg.imbalanceWeight == 0 {
		delete(s.r.planner.loadStates, s.name)
		return
	}
	state := s.r.planner.loadStates[s.name]
	if state == nil {
		state = &loadState{factors: map[table.BackendNum]memberFactor{}, claims: map[table.BackendNum]claim{}}
		s.r.planner.loadStates[s.name] = state
	}
	usable := s.usableMembers()
	if state.beginEvaluation(len(usable), s.r.in.Now) {
		state.retainOnly(usable)
		state.evaluate(usable, s.r.in.Flows, s.cfg.imbalanceWeight)
		state.updateClaims(usable, s.r.in.Now)
	}
	for _, m := range usable {
		m.weight = m.weight * state.scaledFactor(m.Num) / factorScale
	}
}

// beginEvaluation reports whether an evaluation is due, and records its time if so.
func (l *loadState) beginEvaluation(members int, now time.Time) bool {
	if l.memberCount == members && now.Sub(l.evaluatedAt) < balanceInterval {
		return false
	}
	if l.memberCount != members && l.memberCount > 0 {
		l.changedAt = now
	}
	l.memberCount = members
	l.evaluatedAt = now
	return true
}

// retainOnly deletes the factors and claims of all other backend servers.
func (l *loadState) retainOnly(members []*member) {
	retained := make(map[table.BackendNum]bool, len(members))
	for _, m := range members {
		retained[m.Num] = true
	}
	maps.DeleteFunc(l.factors, func(n table.BackendNum, _ memberFactor) bool { return !retained[n] })
	maps.DeleteFunc(l.claims, func(n table.BackendNum, _ claim) bool { return !retained[n] })
}

func (s *servicePlan) usableMembers() []*member {
	var list []*member
	for _, m := range s.members {
		if m.usable {
			list = append(list, m)
		}
	}
	return list
}

// scaledFactor returns the member's factor, including the effect of its claim,
// times factorScale.
func (l *loadState) scaledFactor(n table.BackendNum) int64 {
	f := l.factor(n).applied
	if l.claims[n].lowersFactor {
		f *= claimFactor
	}
	return int64(math.Round(f * factorScale))
}

func (l *loadState) factor(n table.BackendNum) memberFactor {
	if f, ok := l.factors[n]; ok {
		return f
	}
	return memberFactor{applied: 1, smoothed: 1}
}

// evaluate sets the factors from the counted flows. A correction begins when the
// imbalance exceeds the threshold and ends when it is below half of the threshold.
// The factors stay unchanged while no correction is in progress. The evaluation that
// begins a correction, or follows a change of the number of members, is not smoothed.
func (l *loadState) evaluate(members []*member, flows map[table.BackendNum]float64, imbalanceWeight float64) {
	ratios, mean := loadRatios(members, flows)
	if ratios == nil {
		return
	}
	threshold := max(thresholdAtFullWeight/imbalanceWeight, noiseDeviations/math.Sqrt(mean))
	maxExcess := 0.0
	for _, r := range ratios {
		maxExcess = max(maxExcess, r-1)
	}
	begins := false
	switch {
	case maxExcess > threshold:
		begins = !l.correcting
		l.correcting = true
	case maxExcess < threshold/2:
		l.correcting = false
	}
	if !l.correcting {
		return
	}
	boosted := l.evaluatedAt.Sub(l.changedAt) < boostTime
	alpha := smoothing
	if begins || l.evaluatedAt.Equal(l.changedAt) {
		alpha = 1
	}
	for i, m := range members {
		f := l.factor(m.Num)
		f.smoothed += alpha * (factor(ratios[i], imbalanceWeight, boosted) - f.smoothed)
		if math.Abs(f.smoothed-f.applied) >= minFactorStep {
			f.applied = f.smoothed
		}
		l.factors[m.Num] = f
	}
}

// factor returns the correction for a member with the given load ratio.
func factor(ratio, imbalanceWeight float64, boosted bool) float64 {
	if boosted {
		f := 1 - boostGain*gainAtFullWeight*imbalanceWeight*(ratio-1)
		return min(max(f, boostMinFactor), boostMaxFactor)
	}
	f := 1 - gainAtFullWeight*imbalanceWeight*(ratio-1)
	return min(max(f, minFactor), maxFactor)
}

// loadRatios returns the ratio of each member's flows to its share of all flows
// by weight, and the mean number of flows. It returns nil if there are no flows,
// no weights, or fewer than two members.
func loadRatios(members []*member, flows map[table.BackendNum]float64) ([]float64, float64) {
	var total, weights float64
	for _, m := range members {
		total += flows[m.Num]
		weights += float64(m.weight)
	}
	if total <= 0 || weights <= 0 || len(members) < 2 {
		return nil, 0
	}
	ratios := make([]float64, len(members))
	for i, m := range members {
		ratios[i] = flows[m.Num] / (total * float64(m.weight) / weights)
	}
	return ratios, total / float64(len(members))
}

// updateClaims determines which claims lower their member's factor. Only a claim
// above the median can do so, and only until it has been unchanged for claimMaxAge.
func (l *loadState) updateClaims(members []*member, now time.Time) {
	median := claimMedian(members)
	for _, m := range members {
		c, known := l.claims[m.Num]
		if !known || c.value != m.load {
			c.value, c.since = m.load, now
		}
		fresh := now.Sub(c.since) < claimMaxAge
		switch {
		case median <= 0 || !fresh || m.load < claimLeaveRatio*median:
			c.lowersFactor = false
		case m.load > claimEnterRatio*median:
			c.lowersFactor = true
		}
		l.claims[m.Num] = c
	}
}

// claimMedian returns the median of the claims, or 0 if there are fewer than
// minClaimants.
func claimMedian(members []*member) float64 {
	var loads []float64
	for _, m := range members {
		if m.load > 0 && !math.IsInf(m.load, 0) {
			loads = append(loads, m.load)
		}
	}
	if len(loads) < minClaimants {
		return 0
	}
	slices.Sort(loads)
	return loads[len(loads)/2]
}
