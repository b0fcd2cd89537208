package steering

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/warmup"
)

// Steerer decides about the packets at one entry host. It is not safe for
// concurrent use.
type Steerer struct {
	cfg            Config
	table          *Table
	openings       map[flowKey]opening
	lastUsed       map[string]time.Duration // when a flow was last placed on a backend server, by id
	drains         drains
	suspects       suspects
	requestAnswers requestAnswers
	cold           coldServers
	turns          map[zoneListKey]*turns
	plan           zonePlan
	shares         map[Token]Share // shares below FullShare
	sharesRevision uint64          // increases when shares changes
	zones          evacuatedZones
	random         *rand.Rand // draws from cfg.Random
	trace          *trace     // set only in a copy that Explain made
}

// opening is a flow that this host placed and whose caller may still retransmit
// its opening packet.
type opening struct {
	firstAt  time.Duration // when the first opening packet arrived
	latestAt time.Duration // when the latest opening packet arrived
	server   *Server       // backend server to which the latest opening packet went
	tried    []string      // ids of all backend servers to which opening packets went
	answered bool          // whether a later packet showed that the flow is open
	held     bool          // whether the latest opening packet waited at this host
}

// openingRetention is how long a placed flow is remembered after its latest
// opening packet. A caller sends the next copy, if any, within this time.
const openingRetention = 2 * time.Second

// Config holds the parameters of a steerer.
type Config struct {
	Zone string // availability zone of the host
	// DrainFallback is how long a draining backend server still gets new flows
	// if its service has no ready one. It must be well below the time for which
	// a draining backend server keeps running.
	DrainFallback time.Duration
	Host          string       // feed address of the host, by which an admission names it
	ColdBound     warmup.Bound // of the new flows of a cold backend server; the zero value is no bound
	// Shares is whether backend servers get new flows in proportion to their shares.
	// Random then places those that are new at this host among the others. Its type
	// can be copied, which Explain needs.
	Shares bool
	Random *rand.PCG
	// Evacuations is whether flows are placed only once the evacuated zones are known.
	Evacuations bool
}

// New returns a steerer.
func New(cfg Config) *Steerer {
	s := &Steerer{
		cfg: cfg, table: Build(nil, nil), openings: map[flowKey]opening{}, lastUsed: map[string]time.Duration{},
		drains: drains{}, suspects: newSuspects(), requestAnswers: requestAnswers{}, cold: newColdServers(cfg),
		turns: map[zoneListKey]*turns{}, shares: map[Token]Share{},
	}
	if cfg.Random != nil {
		s.random = rand.New(cfg.Random)
	}
	return s
}

// SetTable replaces the table. It returns false and keeps the current table if
// the document of the new one is older: a host never reverts to an older document.
func (s *Steerer) SetTable(now time.Duration, t *Table) bool {
	if t.Version < s.table.Version {
		return false
	}
	s.drains.update(now, s.table, t)
	s.table = t
	clear(s.plan.zoneList)
	return true
}

// Table returns the current table.
func (s *Steerer) Table() *Table { return s.table }

// Decide returns the decision about a packet.
func (s *Steerer) Decide(now time.Duration, p Packet) Decision {
	if p.Opening {
		return s.place(now, p)
	}
	server := s.table.tokens[p.Token]
	switch {
	case p.Token == 0 || server == nil:
		return Decision{Verdict: Drop, Reason: UnknownToken}
	case server.Status == catalog.Gone && p.Reset:
		return Decision{Verdict: Drop, Reason: ServerGone}
	case server.Status == catalog.Gone:
		return Decision{Verdict: Refuse, Reason: ServerGone, Server: server}
	}
	return Decision{Verdict: Forward, Reason: ByToken, Server: server, Opened: s.confirm(now, &p, server)}
}

// confirm records that a flow is open. It returns how long that took if this host
// placed the flow and this is its first confirmation, else 0.
func (s *Steerer) confirm(now time.Duration, p *Packet, server *Server) time.Duration {
	if len(s.openings) == 0 {
		return 0
	}
	key := p.Flow().key()
	o, ok := s.openings[key]
	if !ok || o.answered {
		return 0
	}
	o.answered = true
	s.openings[key] = o
	s.suspects.recordAnswer(now, server.ID)
	return now - o.firstAt
}

// AddSuspicion records that another host got no answer from a backend server.
func (s *Steerer) AddSuspicion(now time.Duration, id string, born int64) {
	s.suspects.add(now, id, born)
}

// place places a new flow.
func (s *Steerer) place(now time.Duration, p Packet) Decision {
	route, d := s.routeOf(p.Route)
	if route == nil {
		return withoutOtherCopy(p, opening{}, d)
	}
	flow := p.Flow()
	before := s.openings[flow.key()]
	if p.Copy == 0 || now-before.latestAt > openingRetention {
		before = opening{}
	}
	if before.answered {
		return Decision{Verdict: Drop, Reason: OpenAlready} // the copy arrived late
	}
	service := serviceOf(route, flow)
	if server := s.serverOfHeld(now, before); server != nil {
		return Decision{Verdict: Forward, Reason: PlacedAgain, Server: server, Service: service}
	}
	if before.server == nil {
		before.firstAt = now
		d = s.decideNew(now, service, route.Priority)
	} else {
		d = s.decideCopy(now, service, before)
	}
	if d.Server == nil {
		return withoutOtherCopy(p, before, d)
	}
	s.cold.recordPlaced(now, d.Server)
	s.lastUsed[d.Server.ID] = now
	s.openings[flow.key()] = opening{
		firstAt: before.firstAt, latestAt: now, server: d.Server, tried: append(before.tried, d.Server.ID), held: p.Delayed,
	}
	return d
}

// routeOf returns the route that callers reach at an address, or nil and the decision
// about flows to that address.
func (s *Steerer) routeOf(address netip.AddrPort) (*document.Route, Decision) {
	if !s.Ready() {
		return nil, Decision{Verdict: Drop, Reason: NoState} // not refused, since a copy may reach a host whose table is ready
	}
	if route := s.table.routes[address]; route != nil {
		return route, Decision{}
	}
	return nil, Decision{Verdict: Refuse, Reason: NoRoute}
}

// decideNew decides about the first opening packet of a flow to a service. Of the state,
// it changes only the order of turns, the remainders of the plan and the random generator,
// which Explain copies. What follows from the decision is recorded by place.
func (s *Steerer) decideNew(now time.Duration, service string, priority int) Decision {
	if s.plan.refuses(service, priority) {
		return Decision{Verdict: Refuse, Reason: Overload, Service: service}
	}
	return s.decisionFor(now, service, s.chooseByPlan(now, service), Placed)
}

// decideCopy decides about a copy of an opening packet that this host has placed.
func (s *Steerer) decideCopy(now time.Duration, service string, before opening) Decision {
	unanswered := s.recordUnanswered(now, before.server)
	server := s.choose(now, s.table.services[service], before.tried)
	if server == nil && s.mayRepeat(now, before.server) {
		server = s.current(before.server)
	}
	d := s.decisionFor(now, service, server, PlacedAgain)
	if server == nil && s.current(before.server) != nil {
		d.Verdict = Drop // a reset would end the flow, which may be open
	}
	d.Unanswered = unanswered
	return d
}

// mayRepeat reports whether a backend server may get a copy of an opening packet that it
// got before, although it gets no new flows: it gets none because flows that this host
// placed use up its bound, and this flow is one of them.
func (s *Steerer) mayRepeat(now time.Duration, placed *Server) bool {
	server := s.current(placed)
	return server != nil && server.Status < catalog.Draining && !s.zones.contains(server.Zone) &&
		s.cold.exclusionOf(now, server, s.table) == usedUp
}

// current returns a backend server as the table has it now, or nil if it is gone or has
// started again.
func (s *Steerer) current(server *Server) *Server {
	now := s.table.tokens[server.Token]
	if now == nil || now.Born != server.Born || now.Status == catalog.Gone {
		return nil
	}
	return now
}

// decisionFor returns the decision to use a backend server for the given reason, or to
// refuse the flow if server is nil.
func (s *Steerer) decisionFor(now time.Duration, service string, server *Server, reason Reason) Decision {
	if server == nil {
		return Decision{Verdict: Refuse, Reason: s.refusal(now, service), Service: service}
	}
	return Decision{Verdict: Forward, Reason: reason, Server: server, Service: service}
}

// withoutOtherCopy returns the decision about an opening packet that is not placed. It is
// dropped and not refused if another entry host may have placed another copy, since a reset
// would end that flow: a copy whose original this host has not seen, or any packet that
// may have waited here until its caller sent another one.
func withoutOtherCopy(p Packet, before opening, d Decision) Decision {
	unseen := p.Copy > 0 && !p.SeenFirst && before.server == nil
	if d.Verdict == Refuse && (unseen || p.Delayed) {
		d.Verdict = Drop
	}
	return d
}

// recordUnanswered records that a backend server left an opening packet
// unanswered. It returns the backend server if that should be reported to other
// hosts, else nil.
func (s *Steerer) recordUnanswered(now time.Duration, server *Server) *Server {
	s.suspects.add(now, server.ID, server.Born)
	if !s.suspects.hasRecentAnswer(now) || s.requestAnswers.isRecent(now, server) {
		return nil
	}
	return server
}

// Expire deletes state that is no longer needed. It is called about once a second.
func (s *Steerer) Expire(now time.Duration) {
	for flow, o := range s.openings {
		if now-o.latestAt > openingRetention {
			delete(s.openings, flow)
		}
	}
	s.suspects.expire(now)
	s.requestAnswers.expire(now)
	s.drains.expire(now, s.cfg.DrainFallback)
	s.cold.expire(now, s.table)
	for id := range s.lastUsed {
		if s.table.tokens[TokenOf(id)] == nil {
			delete(s.lastUsed, id)
		}
	}
	for key := range s.turns {
		if len(s.table.services[key.service]) == 0 {
			delete(s.turns, key)
		}
	}
}

// serviceOf returns the target service of a flow on a route. It is the same for
// all copies of the opening packet and on all hosts.
func serviceOf(r *document.Route, f Flow) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	point := f.hash() % total
	for _, t := range r.Targets {
		if point < uint64(t.Weight) {
			return t.Service
		}
		point -= uint64(t.Weight)
	}
	return ""
}
