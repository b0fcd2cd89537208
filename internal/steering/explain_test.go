package steering

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/admission"
	"greengagequay/internal/catalog"
	"greengagequay/internal/warmup"
)

// randomSteerer returns a steerer in a state that depends only on the seed, and the time.
func randomSteerer(seed uint64) (*Steerer, time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	zones := []string{"a", "b", "c"}
	cfg := Config{Zone: "a", Host: "h1", DrainFallback: drainFallback, Shares: rng.IntN(5) > 0, Random: rand.NewPCG(seed, 2), Evacuations: rng.IntN(20) == 0}
	if rng.IntN(2) == 0 {
		cfg.ColdBound = warmup.Bound{Overage: 1.5, Slack: 5}
	}
	s := New(cfg)
	records := make([]catalog.Record, 1+rng.IntN(12))
	zonesUsed := 1 + rng.IntN(len(zones))
	coldOf := rng.IntN(3) // none, a quarter, most
	change := func(now time.Duration) {
		for i := range records {
			service := []string{"orders", "photos"}[rng.IntN(5)/4]
			status := []catalog.Status{catalog.Ready, catalog.Ready, catalog.Ready, catalog.Silent, catalog.Draining, catalog.Gone}[rng.IntN(6)]
			records[i] = backend(fmt.Sprintf("x%c", 'a'+i), service, zones[rng.IntN(zonesUsed)], status)
			records[i].Born = 1 + int64(rng.IntN(6)/5)
			if rng.IntN(4) < []int{0, 1, 3}[coldOf] {
				records[i].ColdUntil = now + time.Second
				records[i].Admission = []*warmup.Admission{nil, {Hosts: []string{"h2"}, Each: 1}, {Hosts: []string{"h1"}, Each: 1}}[rng.IntN(3)]
			}
		}
		d := coldDocument()
		d.Version = 1 + uint64(now)
		d.Routes[0].Priority = rng.IntN(2)
		s.SetTable(now, Build(d, records))
	}
	now, revision := time.Duration(0), uint64(0)
	for range 6 {
		now += time.Duration(rng.IntN(300)) * time.Millisecond
		if rng.IntN(2) == 0 || s.Table().Version == 0 {
			change(now)
		}
		for i := range records {
			server := records[rng.IntN(len(records))].ID
			switch rng.IntN(6) {
			case 0:
				s.AddSuspicion(now, server, 1)
			case 1:
				s.SetShare(TokenOf(server), Share{Born: 1, Value: uint8(1 + rng.IntN(FullShare))})
			default:
				s.Decide(now, syn(rng.IntN(20), orders, uint32(rng.IntN(2)*i)))
			}
		}
		if rng.IntN(3) == 0 {
			s.SetPlan([]ZoneShare{{Service: "orders", Zone: zones[1+rng.IntN(2)], Share: rng.Float64()}},
				[]admission.Refusal{{Service: "orders", Priority: rng.IntN(2), Percent: rng.IntN(60)}})
		}
		if rng.IntN(4) == 0 {
			revision++
			s.SetEvacuations(now, ordersFrom(revision, "+"+zones[rng.IntN(zonesUsed)]), nil)
		}
	}
	return s, now
}

// Guards against an explanation that differs from the decision, and against one that
// changes what is decided later.
func TestExplanationIsTheDecision(t *testing.T) {
	const states, flows = 1000, 50
	seen, fromPlan := map[Reason]int{}, 0
	for seed := range uint64(states) {
		c := qt.New(t)
		s, now := randomSteerer(seed)
		twin, _ := randomSteerer(seed)
		comment := qt.Commentf("seed %d", seed)
		route := orders
		if seed%4 == 0 {
			route = shared
		}
		p := syn(1000, route, 0)
		e := s.Explain(now, p.Flow())
		c.Assert(reflect.DeepEqual(s, twin), qt.IsTrue, comment)
		for n := range flows {
			want := twin.Decide(now, p)
			c.Assert(describe(s.Decide(now, p)), qt.Equals, describe(want), comment)
			if n == 0 {
				c.Assert(describe(e.Decision), qt.Equals, describe(want), comment)
				checkCandidates(c, e, comment)
				seen[want.Reason]++
				if e.PlanZone != "" && want.Server != nil && want.Server.Zone == e.PlanZone {
					fromPlan++
				}
			}
			p = syn(2000+n%30, route, uint32(n/30)) // new flows, then copies of some of them
		}
	}
	for _, r := range []Reason{Placed, NoState, NoServer, Cold, Evacuated, Overload} {
		qt.Check(t, seen[r] >= 5, qt.IsTrue, qt.Commentf("%v in %d states", r, seen[r]))
	}
	qt.Check(t, fromPlan >= 20, qt.IsTrue, qt.Commentf("%d flows placed by the plan", fromPlan))
}

// checkCandidates checks that the candidates agree with the decision.
func checkCandidates(c *qt.C, e Explanation, comment qt.Comment) {
	usable := 0
	for _, x := range e.Candidates {
		if x.Excluded {
			c.Assert(x.Reason, qt.Not(qt.Equals), "", comment)
			continue
		}
		usable++
	}
	switch {
	case e.Decision.Server != nil:
		c.Assert(e.Candidates[0].Server.ID, qt.Equals, e.Decision.Server.ID, comment)
	case e.Decision.Reason != Overload:
		c.Assert(usable, qt.Equals, 0, comment)
	}
}
