package place

import (
	"time"

	"golang.org/x/time/rate"
)

// limit bounds the moves of a service per second.
type limit struct{ tokens *rate.Limiter }

// limitOf returns the service's limit at the rate, in buckets per second.
func (p *Planner) limitOf(service string, perSecond float64, now time.Time) *limit {
	l := p.limits[service]
	burst := max(1, int(perSecond))
	if l == nil {
		l = &limit{tokens: rate.NewLimiter(rate.Limit(perSecond), burst)}
		p.limits[service] = l
	}
	if l.tokens.Limit() != rate.Limit(perSecond) {
		l.tokens.SetLimitAt(now, rate.Limit(perSecond))
		l.tokens.SetBurstAt(now, burst)
	}
	return l
}

// allow reports whether one more move may start, and counts it if so.
func (l *limit) allow(now time.Time) bool { return l.tokens.AllowN(now, 1) }

// spend counts a move that may not wait. Later moves wait for it.
func (l *limit) spend(now time.Time) { l.tokens.ReserveN(now, 1) }
