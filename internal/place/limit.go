package place

import (
	"time"

	"golang.org/x/time/rate"
)

// moveLimit limits the rate at which buckets of a service start to move.
type moveLimit struct{ limiter *rate.Limiter }

// limitOf returns the service's limit, set to perSecond buckets per second.
func (p *Planner) limitOf(service string, perSecond float64, now time.Time) *moveLimit {
	l := p.limits[service]
	burst := max(1, int(perSecond))
	if l == nil {
		l = &moveLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		p.limits[service] = l
	}
	if l.limiter.Limit() != rate.Limit(perSecond) {
		l.limiter.SetLimitAt(now, rate.Limit(perSecond))
		l.limiter.SetBurstAt(now, burst)
	}
	return l
}

// allow reports whether one more move may start now, and counts it if so.
func (l *moveLimit) allow(now time.Time) bool { return l.limiter.AllowN(now, 1) }

// force counts a move that starts without waiting. Later moves are delayed for
// it.
func (l *moveLimit) force(now time.Time) { l.limiter.ReserveN(now, 1) }
