package pace

import (
	"slices"
	"time"
)

// judge summarizes the latest outcomes of a backend server, and adds all of them to the
// rates of its service.
func (p *Pool) judge(now time.Duration, m *server, b *baseline) Verdict {
	var v Verdict
	var failures, slow rate
	sum := 0.0
	p.ratios = p.ratios[:0]
	recent := false // whether the outcomes so far are within recentWindow
	for i := len(m.outcomes) - 1; i >= 0; i-- {
		o := &m.outcomes[i]
		age := now - o.at
		if recent && age > recentWindow {
			b.addRecent(&v, sum, len(p.ratios))
		}
		recent = age <= recentWindow
		counts := age <= judgeWindow || m.share >= FullShare && v.Outcomes < minEvidence && age <= extendedWindow
		ratio := 0.0
		if !o.failed {
			ratio = o.ratio()
		}
		failures.add(o.failed)
		if ratio > 0 {
			slow.add(ratio > slowRatio)
		}
		if !counts {
			continue
		}
		v.Outcomes++
		switch {
		case o.failed:
			v.Failures++
			if o.at >= p.lastTick {
				v.fresh++
			}
		case ratio > 0:
			p.ratios = append(p.ratios, ratio)
			sum += min(ratio, maxRatio)
			if ratio > slowRatio {
				v.above++
			}
		}
	}
	if recent {
		b.addRecent(&v, sum, len(p.ratios))
	}
	if v.Latencies = len(p.ratios); v.Latencies > 0 {
		v.Ratio = sum / float64(v.Latencies)
	}
	if v.Ratio > slowRatio { // the median is needed only for a slow one
		slices.Sort(p.ratios)
		v.median = p.ratios[v.Latencies/2]
	}
	if failures.of[0] > 0 {
		b.failureRates = append(b.failureRates, failures)
	}
	if slow.of[0] > 0 {
		b.slowRates = append(b.slowRates, slow)
	}
	return v
}

// addRecent counts a backend server by its outcomes within recentWindow.
func (b *baseline) addRecent(v *Verdict, sum float64, latencies int) {
	b.recent++
	if float64(v.Failures) >= failingFraction*float64(v.Outcomes) || sum > slowRatio*float64(latencies) {
		b.recentAffected++
	}
}
