package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules by which a backend server is compared with the others of its service.
const (
	judgeWindow = 2 * time.Second // outcomes that a verdict is based on
	// At a low rate, a verdict against a backend server at full share is based on the
	// latest minEvidence outcomes of extendedWindow. So one that is five times slower or
	// refuses everything is found within 6 s from 1.5 answers a second on.
	minEvidence    = 6
	extendedWindow = 4 * time.Second
	recentWindow   = time.Second     // outcomes that say whether the whole service is affected
	usualWindow    = 6 * time.Second // outcomes that say what is usual
	maxOutcomes    = 48              // outcomes kept of a backend server; later ones replace the oldest
	maxRoutes      = 4096            // routes of a service whose answers are compared
	minServers     = 3               // backend servers of a service that must have answered before any of them is judged
	minPerRoute    = 2               // backend servers that must have answered on a route before latencies are compared

	slowRatio    = 1.8 // mean ratio of latencies above which a backend server is slow
	maxRatio     = 3.0 // limit of each ratio in that mean, since 3% of the requests take 7 times as long
	minSlowShare = FullShare / 8.0
	minLatencies = 3
	minSlowRate  = 0.08 // fraction of usual answers above slowRatio that is assumed at least: 3% long requests, 2.5% lost packets

	minFailures      = 3
	failingFraction  = 1.0 / 3
	maxUsualFailures = 0.1  // fraction of failures at the other backend servers above which no one is failing
	minFailureRate   = 0.02 // fraction of failures that is assumed at least
	// An answer is a failure if it is below this size, and below half of the route's
	// median. An answer that reports a failure is little more than a status line and a few
	// headers. A limit relative to the median alone would miss failures beside short
	// answers, and take short answers for failures beside long ones.
	maxFailureBytes = 300
	// unlikely is the probability below which observations are not taken for chance. With
	// 30 backend servers and one independent verdict a second, that makes less than one
	// false alarm in 5 minutes, which lasts 1 to 3 s.
	unlikely = 1e-4

	// trimmedFraction of the backend servers, those with the lowest rates, define the
	// usual rates. The others may be slow or failing.
	trimmedFraction = 2.0 / 3
)

// outcome is a sample of one backend server.
type outcome struct {
	at      time.Duration
	route   *route
	latency uint16 // in milliseconds
	bytes   uint16
	kind    Kind
	failed  bool
}

// baseline holds the usual rates of a service.
type baseline struct {
	failures float64 // fraction of outcomes that are failures
	slow     float64 // fraction of latencies above slowRatio
	// affected is whether half or more of the backend servers that answered within
	// recentWindow look slow or failing, or too few have answered. Then no share falls: at
	// the begin of a burst some have enough answers for a verdict earlier than others.
	affected bool

	failureRates, slowRates []rate
	recent, recentAffected  int
}

// rate counts the outcomes of one backend server for which something holds. Half of
// them choose the backend servers that define what is usual, the other half count for
// it: if the same outcomes did both, the result would be too low.
type rate struct {
	holds, of [2]int
}

func (r *rate) add(holds bool) {
	half := (r.of[0] + r.of[1]) % 2
	r.of[half]++
	if holds {
		r.holds[half]++
	}
}

func (r *rate) choosing() float64 { return float64(r.holds[0]) / float64(r.of[0]) }

// route holds what is usual for the answers of one route at one service.
type route struct {
	latency, bytes quantile
	usualLatency   float64 // in milliseconds, 0 if unknown
	usualBytes     float64 // 0 if unknown
	count          int     // answers of the backend server whose answers are being added
}

// quantile is a weighted histogram whose buckets grow by 2^(1/8).
type quantile struct {
	weights [16*bucketsPerOctave + 1]float32
	total   float32
}

const bucketsPerOctave = 8

var bucketOf = func() (table [math.MaxUint16 + 1]uint8) {
	for v := range table {
		table[v] = uint8(bucketsPerOctave * math.Log2(float64(v)+1))
	}
	return table
}()

func (q *quantile) add(v uint16, weight float32) {
	q.weights[bucketOf[v]] += weight
	q.total += weight
}

// median returns the weighted median, or 0 if fewer than minPerRoute backend servers
// contributed.
func (q *quantile) median() float64 {
	if q.total < minPerRoute-0.01 { // sum of weights, with rounding
		return 0
	}
	sum := float32(0)
	for i, w := range q.weights {
		if sum+w >= q.total/2 {
			within := float64((q.total/2 - sum) / w)
			return math.Exp2((float64(i)+within)/bucketsPerOctave) - 1
		}
		sum += w
	}
	return 0
}

// routeKey identifies answers that can be compared: those of one route, and between
// the same zones, since the latency includes the way between them.
type routeKey struct {
	route    uint32
	from, to string // zones of the entry host and the backend server
}

// Add adds samples of an entry host in a zone. Those of unknown backend servers are
// ignored.
func (p *Pool) Add(now time.Duration, zone string, samples []Sample) {
	for _, x := range samples {
		if s, failed := p.addSample(now, zone, x); s != nil {
			p.collect(s, zone, x, failed)
		}
	}
}

// addSample adds a sample. It returns its backend server, nil if the sample is ignored, and
// whether it is of a failure.
func (p *Pool) addSample(now time.Duration, zone string, x Sample) (_ *server, failed bool) {
	s := p.servers[x.Token]
	if s == nil {
		return nil, false
	}
	group := p.services[s.Service]
	key := routeKey{route: x.Route, from: zone, to: s.Zone}
	r := group.routes[key]
	if r == nil {
		if len(group.routes) >= maxRoutes {
			return nil, false
		}
		r = &route{}
		group.routes[key] = r
	}
	o := outcome{at: now, route: r, latency: x.LatencyMs, bytes: x.Bytes, kind: x.Kind}
	o.failed = x.Kind != Answered || float64(x.Bytes) < min(r.usualBytes/2, maxFailureBytes)
	if len(s.outcomes) == maxOutcomes {
		copy(s.outcomes, s.outcomes[1:])
		s.outcomes = s.outcomes[:maxOutcomes-1]
	}
	s.outcomes = append(s.outcomes, o)
	return s, o.failed
}

// ratio returns the latency of an answer relative to the usual one, or 0 if it cannot be
// compared.
func (o *outcome) ratio() float64 {
	if o.route.usualLatency == 0 {
		return 0
	}
	return max(float64(o.latency), 1) / max(o.route.usualLatency, 1)
}

// updateUsual computes the usual latency and size of the answers of each route. Each
// backend server has the same weight, however many answers it gave: one that fails at
// once answers more often.
func (s *service) updateUsual(now time.Duration) {
	for _, r := range s.routes {
		r.latency, r.bytes = quantile{}, quantile{}
	}
	for _, m := range s.members {
		m.expire(now)
		m.addAnswers()
	}
	for key, r := range s.routes {
		r.usualLatency, r.usualBytes = r.latency.median(), r.bytes.median()
		if r.bytes.total == 0 {
			delete(s.routes, key) // its last outcomes are failures, which are compared with nothing
		}
	}
}

// expire removes outcomes that are older than usualWindow.
func (s *server) expire(now time.Duration) {
	n := 0
	for n < len(s.outcomes) && now-s.outcomes[n].at > usualWindow {
		n++
	}
	s.outcomes = slices.Delete(s.outcomes, 0, n)
}

// addAnswers adds the answers of a backend server to its routes, with weights that add
// up to 1 for the sizes of each route.
func (s *server) addAnswers() {
	for i := range s.outcomes {
		s.outcomes[i].route.count = 0
	}
	for i := range s.outcomes {
		if s.outcomes[i].kind == Answered {
			s.outcomes[i].route.count++
		}
	}
	for i := range s.outcomes {
		o := &s.outcomes[i]
		if o.kind != Answered {
			continue
		}
		weight := 1 / float32(o.route.count)
		o.route.bytes.add(o.bytes, weight)
		if !o.failed {
			o.route.latency.add(o.latency, weight)
		}
	}
}

// updateRates computes the usual rates from those that judge collected.
func (b *baseline) updateRates() {
	b.failures, b.slow = usualRate(b.failureRates), usualRate(b.slowRates)
	b.affected = len(b.failureRates) < minServers || b.recent > 1 && 2*b.recentAffected >= b.recent
	b.failureRates, b.slowRates, b.recent, b.recentAffected = b.failureRates[:0], b.slowRates[:0], 0, 0
}

// usualRate returns the rate of the backend servers with the lowest rates.
func usualRate(rates []rate) float64 {
	slices.SortFunc(rates, func(a, b rate) int { return cmp.Compare(a.choosing(), b.choosing()) })
	holds, of := 0, 0
	for _, r := range rates[:int(math.Ceil(trimmedFraction*float64(len(rates))))] {
		holds += r.holds[1]
		of += r.of[1]
	}
	return float64(holds) / float64(max(of, 1))
}

// isUnlikely reports whether k or more of n observations are unlikely at the given
// rate, which is taken as at least atLeast.
func isUnlikely(k, n int, rate, atLeast float64) bool {
	rate = min(max(rate, atLeast), 0.99)
	below, term := 0.0, math.Pow(1-rate, float64(n)) // probability of i
	for i := range k {
		below += term
		term *= float64(n-i) / float64(i+1) * rate / (1 - rate)
	}
	return 1-below < unlikely
}
