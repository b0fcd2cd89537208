package place

import (
	"maps"
	"math"
	"slices"
	"time"

	"greengagequay/internal/table"
)

// Correction of quotas by load.
const (
	balanceInterval = 5 * time.Second
	factorScale     = 1000 // parts of a factor of 1
	// worthAtFullWeight is the imbalance from which a correction is worth its
	// moves at a balance.imbalance_weight of 1. At less weight it is more.
	worthAtFullWeight = 0.01
	// gainAtFullWeight is how much a share changes per unit of imbalance.
	gainAtFullWeight = 8
	minFactor        = 0.5
	maxFactor        = 1.5
	// factorStep is the least change of a factor. Smaller ones would move
	// buckets to and fro as flows come and go by chance.
	factorStep = 0.08
	// correctionPace is the part of the way to the computed factor that one
	// evaluation goes. At a larger one the load of flows that end within a few
	// seconds swings, as it follows each correction before the next one.
	correctionPace = 0.2
	// noiseLimit is the imbalance, in standard deviations of a count of flows
	// placed by chance, below which nothing is corrected.
	noiseLimit = 2
)

// After a backend server has come or gone, the correction is stronger for a
// time: one that starts with no flows takes most of the new ones.
const (
	boostTime      = 90 * time.Second
	boostGain      = 2 // times the usual gain
	boostMinFactor = 0
	boostMaxFactor = 2
)

// Claimed load.
const (
	claimFresh   = 30 * time.Second // an unchanged claim counts this long
	claimEnter   = 1.25             // of the median, from which a claim counts
	claimLeave   = 1.10             // of the median, up to which it no longer does
	claimFactor  = 0.9              // all that a claim can take away
	minClaimants = 3                // claims needed for a median that one cannot shift
)

// balance is what the planner remembers of a service's load.
type balance struct {
	evaluated time.Time
	members   int       // usable at that time
	changed   time.Time // when that number changed
	active    bool      // a correction is under way
	factors   map[table.BackendNum]scale
	claims    map[table.BackendNum]claim
}

// scale is a backend server's factor. The one in force follows what evaluations
// come to in steps.
type scale struct{ inForce, evaluated float64 }

// claim is the load that a backend server claimed last.
type claim struct {
	value  float64
	since  time.Time // of the last change
	counts bool
}

// correct scales the members' weights by the load that entry hosts counted,
// and by the claimed load within a narrow bound: it may lag, freeze or lie.
func (s *servicePlan) correct() {
	if s.cfg.imbalance == 0 {
		delete(s.r.planner.balances, s.name)
		return
	}
	bal := s.r.planner.balances[s.name]
	if bal == nil {
		bal = &balance{factors: map[table.BackendNum]scale{}, claims: map[table.BackendNum]claim{}}
		s.r.planner.balances[s.name] = bal
	}
	usable := s.usableMembers()
	if bal.due(len(usable), s.r.in.Now) {
		bal.forgetOthers(usable)
		bal.evaluate(usable, s.r.in.Flows, s.cfg.imbalance)
		bal.judgeClaims(usable, s.r.in.Now)
	}
	for _, m := range usable {
		m.weight = m.weight * bal.parts(m.Num) / factorScale
	}
}

// due reports whether load is to be judged now, and notes that it is.
func (b *balance) due(members int, now time.Time) bool {
	if b.members == members && now.Sub(b.evaluated) < balanceInterval {
		return false
	}
	if b.members != members && b.members > 0 {
		b.changed = now
	}
	b.members = members
	b.evaluated = now
	return true
}

// forgetOthers drops what is known of backend servers that take no new flows.
func (b *balance) forgetOthers(members []*member) {
	stays := make(map[table.BackendNum]bool, len(members))
	for _, m := range members {
		stays[m.Num] = true
	}
	maps.DeleteFunc(b.factors, func(n table.BackendNum, _ scale) bool { return !stays[n] })
	maps.DeleteFunc(b.claims, func(n table.BackendNum, _ claim) bool { return !stays[n] })
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

// parts returns the member's factor in parts of factorScale.
func (b *balance) parts(n table.BackendNum) int64 {
	f := b.factor(n).inForce
	if b.claims[n].counts {
		f *= claimFactor
	}
	return int64(math.Round(f * factorScale))
}

func (b *balance) factor(n table.BackendNum) scale {
	if f, ok := b.factors[n]; ok {
		return f
	}
	return scale{inForce: 1, evaluated: 1}
}

// evaluate sets the factors from the counted flows. A correction begins when
// the imbalance is worth it and goes on until it has halved. In between the
// factors stay.
func (b *balance) evaluate(members []*member, flows map[table.BackendNum]float64, imbalance float64) {
	ratios, mean := loadRatios(members, flows)
	if ratios == nil {
		return
	}
	enter := max(worthAtFullWeight/imbalance, noiseLimit/math.Sqrt(mean))
	worst := 0.0
	for _, r := range ratios {
		worst = max(worst, r-1)
	}
	begins := false
	switch {
	case worst > enter:
		begins = !b.active
		b.active = true
	case worst < enter/2:
		b.active = false
	}
	if !b.active {
		return
	}
	boosted := b.evaluated.Sub(b.changed) < boostTime
	pace := correctionPace
	if begins || b.evaluated.Equal(b.changed) {
		pace = 1
	}
	for i, m := range members {
		f := b.factor(m.Num)
		f.evaluated += pace * (factor(ratios[i], imbalance, boosted) - f.evaluated)
		if math.Abs(f.evaluated-f.inForce) >= factorStep {
			f.inForce = f.evaluated
		}
		b.factors[m.Num] = f
	}
}

// factor returns the correction for a member with the given load ratio.
func factor(ratio, imbalance float64, boosted bool) float64 {
	if boosted {
		f := 1 - boostGain*gainAtFullWeight*imbalance*(ratio-1)
		return min(max(f, boostMinFactor), boostMaxFactor)
	}
	f := 1 - gainAtFullWeight*imbalance*(ratio-1)
	return min(max(f, minFactor), maxFactor)
}

// loadRatios returns each member's flows in relation to its share by weight,
// and the mean number of flows. It returns nil while too little is counted.
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

// judgeClaims decides which claims of high load count. A low claim never does,
// nor does one that has not changed for long.
func (b *balance) judgeClaims(members []*member, now time.Time) {
	median := claimMedian(members)
	for _, m := range members {
		c, known := b.claims[m.Num]
		if !known || c.value != m.load {
			c.value, c.since = m.load, now
		}
		fresh := now.Sub(c.since) < claimFresh
		switch {
		case median <= 0 || !fresh || m.load < claimLeave*median:
			c.counts = false
		case m.load > claimEnter*median:
			c.counts = true
		}
		b.claims[m.Num] = c
	}
}

// claimMedian returns the median of the claims, 0 if there are too few.
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
