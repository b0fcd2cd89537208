package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of a pool.
const (
	// TickInterval is the interval at which Tick is called.
	TickInterval = 500 * time.Millisecond
	// startWindow is how long after the first backend server all others are taken as
	// usual ones: a control host that has just started cannot tell which of them are new.
	startWindow = 5 * time.Second
	// newShare is the share of a new backend server.
	newShare = FullShare / 4
	// Factors by which a share rises with each call of Tick, with usual answers and
	// without any. A new backend server is at full share after 2 s or 3.5 s.
	riseWithAnswers    = 1.5
	riseWithoutAnswers = 1.25
	// A rise is sent only if it is at least by this factor, or to the full share. That
	// makes two or three messages of a recovery.
	minSentRise = 1.9
	// A fall is sent only if it is at least by this factor, since the estimate of a slow
	// backend server's latency varies.
	maxSentFall = 0.8
	// maxChangesPerTick limits the changes sent at once, about 5 KB. The others follow
	// with the next calls, falls first.
	maxChangesPerTick = 256
)

// Server is a backend server known to a pool.
type Server struct {
	Token   uint32
	ID      string
	Service string
	Zone    string
	Born    int64 // start time in Unix milliseconds
	Absent  bool  // whether it gets no new flows any more
	Slots   int   // requests that it processes at once
	Silent  bool  // whether its heartbeats are missing
}

// Pool decides about the shares of backend servers. It is not safe for concurrent use.
type Pool struct {
	servers  map[uint32]*server
	services map[string]*service
	started  bool
	usualEnd time.Duration // until when unknown backend servers are taken as usual ones
	lastTick time.Duration
	revision uint64
	ratios   []float64 // scratch
	recent   []recentSample
}

// server is a backend server and its latest outcomes.
type server struct {
	Server
	share    float64 // in sixteenths, before it is related to those of the other backend servers
	sent     uint8   // share that followers have
	revision uint64  // revision of sent
	reason   Reason  // why share last changed
	verdict  Verdict
	outcomes []outcome // oldest first
	failed   bool      // whether one of Pool.recent is of a failure of it
}

// service holds the backend servers of a service and what is usual for them.
type service struct {
	members []*server
	routes  map[routeKey]*route
	base    baseline
	levels  []float64 // scratch
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{servers: map[uint32]*server{}, services: map[string]*service{}, revision: 1}
}

// Revision returns the revision of the shares, which is never 0. It increases with each
// change that followers must know.
func (p *Pool) Revision() uint64 { return p.revision }

// Since returns the shares that changed after a revision. After revision 0, that of a
// follower that has no shares, it returns those below FullShare, since followers assume
// that share.
func (p *Pool) Since(revision uint64) []Level {
	var list []Level
	for _, s := range p.servers {
		if s.revision > revision && (revision > 0 || s.sent < FullShare) {
			list = append(list, s.level())
		}
	}
	slices.SortFunc(list, func(a, b Level) int { return cmp.Compare(a.Token, b.Token) })
	return list
}

func (s *server) level() Level { return Level{Token: s.Token, Born: s.Born, Share: s.sent} }

// Service holds the shares of one service for metrics.
type Service struct {
	Below  int   // backend servers below FullShare
	Lowest uint8 // lowest share
}

// Service returns the shares of a service.
func (p *Pool) Service(name string) Service {
	result := Service{Lowest: FullShare}
	if s := p.services[name]; s != nil {
		for _, m := range s.members {
			result.Lowest = min(result.Lowest, m.sent)
			if m.sent < FullShare {
				result.Below++
			}
		}
	}
	return result
}

// Services returns the names of all services that had a backend server.
func (p *Pool) Services() []string {
	var names []string
	for name := range p.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// UpdateServers adds, replaces and removes backend servers. A new one gets newShare at
// once, before its first flow. It returns the changed shares.
func (p *Pool) UpdateServers(now time.Duration, changed []Server) []Change {
	var changes []Change
	for _, x := range changed {
		known := p.servers[x.Token]
		switch {
		case known != nil && known.ID != x.ID:
			continue // steering prefers the other one of the two with this token
		case known != nil && !x.Absent && known.Born == x.Born && known.Service == x.Service:
			known.Server = x
			continue
		case known != nil:
			p.remove(known)
		}
		if x.Absent {
			continue
		}
		if !p.started {
			p.started, p.usualEnd = true, now+startWindow
		}
		s := &server{Server: x, share: FullShare, sent: FullShare}
		p.add(s)
		if now >= p.usualEnd {
			s.share, s.reason = newShare, New
			share := uint8(newShare)
			if p.mostAreBelow(p.services[x.Service]) {
				share = FullShare // sent too, since followers may have a share from before it was absent
			}
			changes = append(changes, p.send(s, share))
		}
	}
	return changes
}

// Find returns a backend server that gets new flows.
func (p *Pool) Find(token uint32) (Server, bool) {
	s := p.servers[token]
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// Each calls fn for each backend server that gets new flows, with the share that
// followers have.
func (p *Pool) Each(fn func(s Server, share uint8)) {
	for _, s := range p.servers {
		fn(s.Server, s.sent)
	}
}

func (p *Pool) add(s *server) {
	p.servers[s.Token] = s
	group := p.services[s.Service]
	if group == nil {
		group = &service{routes: map[routeKey]*route{}}
		p.services[s.Service] = group
	}
	group.members = append(group.members, s)
}

func (p *Pool) remove(s *server) {
	delete(p.servers, s.Token)
	group := p.services[s.Service]
	i := slices.Index(group.members, s)
	last := len(group.members) - 1
	group.members[i] = group.members[last]
	group.members[last] = nil
	group.members = group.members[:last]
}

// mostAreBelow reports whether half or more of a service's backend servers would be
// below full share.
func (p *Pool) mostAreBelow(s *service) bool {
	below := 0
	for _, m := range s.members {
		if m.share < FullShare {
			below++
		}
	}
	return 2*below >= len(s.members)
}

// send sets the share that followers have.
func (p *Pool) send(s *server, share uint8) Change {
	c := Change{Before: s.sent, ID: s.ID, Service: s.Service, Reason: s.reason, Verdict: s.verdict}
	p.revision++
	s.sent, s.revision = share, p.revision
	c.Level = s.level()
	return c
}

// Tick judges all backend servers by their latest outcomes and returns the changed
// shares.
func (p *Pool) Tick(now time.Duration) []Change {
	var due []change
	for _, name := range p.Services() {
		s := p.services[name]
		s.updateUsual(now)
		for _, m := range s.members {
			m.verdict = p.judge(now, m, &s.base)
		}
		s.base.updateRates()
		for _, m := range s.members {
			m.adjust(&s.base)
		}
		due = s.relate(due)
	}
	p.lastTick = now
	slices.SortFunc(due, func(a, b change) int { // falls first, then the largest rises
		if fallA, fallB := a.factor() < 1, b.factor() < 1; fallA != fallB {
			return cmp.Compare(a.factor(), b.factor())
		}
		return cmp.Or(cmp.Compare(b.factor(), a.factor()), cmp.Compare(a.server.Token, b.server.Token))
	})
	var changes []Change
	for _, c := range due[:min(len(due), maxChangesPerTick)] {
		changes = append(changes, p.send(c.server, c.share))
	}
	return changes
}

// change is a share that is due to be sent.
type change struct {
	server *server
	share  uint8
}

func (c change) factor() float64 { return float64(c.share) / float64(c.server.sent) }

// adjust changes the share of a backend server after its verdict.
func (s *server) adjust(base *baseline) {
	v := &s.verdict
	isFull := s.share >= FullShare
	slow := v.Latencies > 0 && v.Ratio > slowRatio
	failing := v.Failures > 0 && failingFraction*float64(v.Outcomes) <= float64(v.Failures) && base.failures <= maxUsualFailures
	switch {
	case base.affected && (failing || slow): // neither a fall nor a rise
	case failing && v.Failures >= minFailures && isUnlikely(v.Failures, v.Outcomes, base.failures, minFailureRate):
		s.fall(1, Failing)
	case failing && !isFull: // too few outcomes for a verdict, but the share was lowered before
		if v.fresh > 0 {
			s.fall(s.share/2, Failing)
		}
	case slow && v.Latencies >= minLatencies && isUnlikely(v.above, v.Latencies, base.slow, minSlowRate),
		slow && !isFull && v.Latencies >= 2:
		s.fall(max(FullShare/max(v.median, v.Ratio), minSlowShare), Slow)
	case slow && !isFull: // one slow answer does not lower the share, but keeps it from rising
	case !isFull && v.Outcomes > 0:
		s.rise(riseWithAnswers, Recovering)
	case !isFull:
		s.rise(riseWithoutAnswers, NoEvidence)
	}
}

// fall lowers the share to a value. If the share is below it already, it stays: it
// rises only with usual answers or none.
func (s *server) fall(share float64, why Reason) {
	if share = max(share, 1); share < s.share {
		s.share, s.reason = share, why
	}
}

func (s *server) rise(factor float64, why Reason) {
	s.share, s.reason = min(s.share*factor, FullShare), why
}

// relate raises all shares of the service if half or more of its backend servers are
// below full share, and appends the changes that are to be sent.
func (s *service) relate(due []change) []change {
	s.levels = s.levels[:0]
	for _, m := range s.members {
		s.levels = append(s.levels, m.share)
	}
	slices.Sort(s.levels)
	factor := 1.0
	if n := len(s.levels); n > 0 {
		factor = FullShare / s.levels[(n+1)/2-1]
	}
	for _, m := range s.members {
		share := uint8(math.Round(min(max(m.share*factor, 1), FullShare)))
		c := change{m, share}
		switch {
		case share == m.sent:
		case share == FullShare, c.factor() >= minSentRise, c.factor() <= maxSentFall:
			if factor > 1 && share > m.sent {
				m.reason = Relative
			}
			due = append(due, c)
		}
	}
	return due
}
