package steering

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"greengagequay/internal/admission"
	"greengagequay/internal/document"
)

// Explanation is where a new flow would go, and what that is based on.
type Explanation struct {
	Decision Decision
	Route    *document.Route // nil if the flow was given by its service, or its route is not known
	Service  string          // target service, empty if it is not known
	Priority int
	// PlanZone is the zone to which the plan sends the flow, empty for that of the host.
	// It has no effect if that zone has no backend server that is ready and usable.
	PlanZone   string
	Candidates []Candidate // backend servers of the service, in the order of preference
}

// Candidate is a backend server as a host that places a flow sees it.
type Candidate struct {
	Server   *Server
	Rank     string
	Share    uint8 // of new flows, from 1 to FullShare
	Excluded bool  // whether it cannot get the flow
	// Turn is the distance to its next turn among those of its rank, in turns of a
	// backend server with FullShare. It is meaningful only if HasTurn is set.
	Turn    float64
	HasTurn bool
	Reason  string // why it is not preferred, empty if it is
}

var rankNames = [...]string{"own zone", "other zone", "suspect", "tried", "draining", "silent", "excluded"}

// trace records what chooseByPlan and chooseByTurn saw in their latest call. It has no
// places after choose used the order of least recent use.
type trace struct {
	planZone string
	key      zoneListKey
	list     []*Server
	places   []place
	clocks   [rankExcluded + 1]float64
}

func (x *trace) record(key zoneListKey, t *turns) {
	x.key, x.list, x.places, x.clocks = key, t.list, slices.Clone(t.places), t.clocks
}

// Explain returns where a packet would go that opens a flow now. It changes no state:
// the code of Decide runs on a copy of the state that it changes. A random position of
// a backend server that is new at this host is drawn from a copy of the generator, so
// it is the position that the next call of Decide gives to it.
func (s *Steerer) Explain(now time.Duration, f Flow) Explanation {
	route, d := s.routeOf(f.Route)
	if route == nil {
		return Explanation{Decision: d, Route: s.table.routes[f.Route]}
	}
	e := s.explainService(now, serviceOf(route, f), route.Priority)
	e.Route = route
	return e
}

// ExplainService is Explain for a flow of a service and priority on any route.
func (s *Steerer) ExplainService(now time.Duration, service string, priority int) Explanation {
	if !s.Ready() {
		return Explanation{Decision: Decision{Verdict: Drop, Reason: NoState}, Service: service, Priority: priority}
	}
	return s.explainService(now, service, priority)
}

func (s *Steerer) explainService(now time.Duration, service string, priority int) Explanation {
	c := s.copyOf(service)
	e := Explanation{Service: service, Priority: priority, Decision: c.decideNew(now, service, priority)}
	if e.Decision.Reason == Overload {
		c.chooseByPlan(now, service) // the candidates if the flow were not refused
	}
	e.PlanZone = c.trace.planZone
	e.Candidates = c.candidates(now, service)
	return e
}

// copyOf returns a copy for decideNew: what that changes for a service is copied, and
// the rest shared.
func (s *Steerer) copyOf(service string) *Steerer {
	c := *s
	c.trace = &trace{}
	if s.cfg.Random != nil {
		generator := *s.cfg.Random
		c.cfg.Random, c.random = &generator, rand.New(&generator)
	}
	c.turns = map[zoneListKey]*turns{}
	for key, t := range s.turns {
		if key.service == service {
			next := *t
			next.places = slices.Clone(t.places)
			c.turns[key] = &next
		}
	}
	c.plan = zonePlan{away: map[string][]*zoneShare{}, refused: map[refusalKey]*remainder{}, zoneList: maps.Clone(s.plan.zoneList)}
	for _, x := range s.plan.away[service] {
		next := *x
		c.plan.away[service] = append(c.plan.away[service], &next)
	}
	for key, x := range s.plan.refused {
		if key.service == service {
			next := *x
			c.plan.refused[key] = &next
		}
	}
	return &c
}

// ranked is a candidate with what orders it.
type ranked struct {
	Candidate
	rank    rank
	outside bool          // not in the zone in which the flow was placed
	next    float64       // virtual time of its next turn
	used    time.Duration // when this host last placed a flow on it
}

// candidates returns the backend servers of a service in the order in which the latest
// decision of this copy preferred them.
func (s *Steerer) candidates(now time.Duration, service string) []Candidate {
	seen := make(map[*Server]int, len(s.trace.list))
	for i, server := range s.trace.list {
		seen[server] = i
	}
	servers := s.table.services[service]
	list, order := make([]ranked, len(servers)), make([]*ranked, len(servers)) // pointers are sorted faster
	for n, server := range servers {
		x := &list[n]
		order[n] = x
		*x = ranked{Candidate: Candidate{Server: server, Share: FullShare}, used: s.lastUsed[server.ID], rank: s.rankOf(now, server, nil)}
		if share, ok := s.shares[server.Token]; ok && share.Born == server.Born && share.Value > 0 {
			x.Share = share.Value
		}
		x.Rank, x.Excluded, x.Reason = rankNames[x.rank], x.rank == rankExcluded, s.reasonOf(now, server, x.rank)
		i, ok := seen[server]
		switch {
		case ok && !x.Excluded:
			p := s.trace.places[i]
			x.next, x.Turn, x.HasTurn = p.next, p.next-s.trace.clocks[p.rank], true
		case !ok && s.trace.key.zone != "" && !x.Excluded:
			x.outside, x.Reason = true, fmt.Sprintf("the plan sends this flow to zone %s", s.trace.key.zone)
		}
	}
	slices.SortStableFunc(order, compareRanked)
	candidates := make([]Candidate, len(order))
	for i, x := range order {
		candidates[i] = x.Candidate
	}
	return candidates
}

func compareRanked(a, b *ranked) int {
	switch {
	case a.Excluded != b.Excluded:
		return falseFirst(a.Excluded)
	case a.outside != b.outside:
		return falseFirst(a.outside)
	case a.rank != b.rank:
		return cmp.Compare(a.rank, b.rank)
	case a.HasTurn && b.HasTurn:
		return cmp.Compare(a.next, b.next)
	}
	return cmp.Compare(a.used, b.used)
}

// falseFirst orders a before another value that differs.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}

// reasonOf returns why a backend server has a rank, empty for rankOwnZone.
func (s *Steerer) reasonOf(now time.Duration, server *Server, r rank) string {
	switch r {
	case rankOwnZone:
		return ""
	case rankOtherZone:
		return "in another zone"
	case rankSuspect:
		until := s.suspects.byID[server.ID].until
		return fmt.Sprintf("left an opening packet unanswered or refused a connection; avoided for %d ms more", (until - now).Milliseconds())
	case rankDraining:
		return "draining, used only if no other is usable"
	case rankSilent:
		return "silent: its heartbeats are missing"
	}
	if s.zones.contains(server.Zone) {
		return "its zone is evacuated"
	}
	switch s.cold.exclusionOf(now, server, s.table) {
	case noAdmission:
		return "cold, and no entry host is admitted yet"
	case notAdmitted:
		return "cold, and only other entry hosts are admitted"
	case usedUp:
		return "cold, and this host has opened as many flows as it may in a second"
	}
	return server.Status.String()
}

// Plan returns the zone shares and refusals of a service that are in force.
func (s *Steerer) Plan(service string) (shares []ZoneShare, refusals []admission.Refusal) {
	const percent = 100
	for _, x := range s.plan.away[service] {
		shares = append(shares, ZoneShare{Service: service, Zone: x.zone, Share: x.fraction})
	}
	for key, x := range s.plan.refused {
		if key.service == service {
			refusals = append(refusals, admission.Refusal{Service: service, Priority: key.priority, Percent: int(percent*x.fraction + 0.5)})
		}
	}
	slices.SortFunc(refusals, func(a, b admission.Refusal) int { return a.Priority - b.Priority })
	return shares, refusals
}

// Routes returns the addresses of all routes in ascending order.
func (t *Table) Routes() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(t.routes), netip.AddrPort.Compare)
}

// Services returns the names of all services that routes or backend servers name, in
// ascending order.
func (t *Table) Services() []string {
	names := map[string]bool{}
	for name := range t.services {
		names[name] = true
	}
	for _, r := range t.routes {
		for _, target := range r.Targets {
			names[target.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
