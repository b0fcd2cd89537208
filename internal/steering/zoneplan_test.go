package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/admission"
	"greengagequay/internal/catalog"
)

// newPlanSteerer returns a steerer with shares and three backend servers in each of the
// zones a and b.
func newPlanSteerer(t *testing.T) *Steerer {
	s := New(Config{Zone: "a", DrainFallback: drainFallback, Shares: true, Random: rand.NewPCG(1, 2)})
	d := testDocument(1)
	d.Routes[0].Priority = 1
	var records []catalog.Record
	for n := range 6 {
		records = append(records, backend(fmt.Sprintf("x%d", n), "orders", []string{"a", "b"}[n%2], catalog.Ready))
	}
	qt.Assert(t, s.SetTable(0, Build(d, records)), qt.IsTrue)
	return s
}

// placeFlows opens flows and returns how many went to each zone, and to each backend
// server of zone b.
func placeFlows(s *Steerer, first, n int) (zones, servers map[string]int) {
	zones, servers = map[string]int{}, map[string]int{}
	for flow := range n {
		d := s.Decide(0, syn(first+flow, orders, 0))
		if d.Server == nil {
			zones[d.Reason.String()]++
			continue
		}
		zones[d.Server.Zone]++
		if d.Server.Zone == "b" {
			servers[d.Server.ID]++
		}
	}
	return zones, servers
}

// Guards against more or fewer flows leaving the zone than planned, and against all of
// them going to one backend server there.
func TestPlannedShareLeavesTheZone(t *testing.T) {
	c := qt.New(t)
	s := newPlanSteerer(t)
	zones, _ := placeFlows(s, 0, 100)
	c.Assert(zones, qt.DeepEquals, map[string]int{"a": 100})
	s.SetPlan([]ZoneShare{{Service: "orders", Zone: "b", Share: 0.3}}, nil)
	zones, servers := placeFlows(s, 100, 100)
	c.Assert(zones["b"] >= 29 && zones["b"] <= 30, qt.IsTrue, qt.Commentf("%v", zones))
	for id, n := range servers {
		c.Check(n >= 9 && n <= 11, qt.IsTrue, qt.Commentf("%s: %d flows", id, n))
	}
	s.SetPlan(nil, nil)
	zones, _ = placeFlows(s, 200, 50)
	c.Assert(zones, qt.DeepEquals, map[string]int{"a": 50})
}

// Guards against flows to a planned zone that has just lost its backend servers, and
// against a plan that names a zone without any.
func TestPlanFallsBack(t *testing.T) {
	s := newPlanSteerer(t)
	s.SetPlan([]ZoneShare{{Service: "orders", Zone: "c", Share: 0.5}}, nil)
	zones, _ := placeFlows(s, 0, 50)
	qt.Assert(t, zones, qt.DeepEquals, map[string]int{"a": 50})
	s.SetPlan([]ZoneShare{{Service: "orders", Zone: "b", Share: 0.5}}, nil)
	var records []catalog.Record
	for n := range 6 {
		records = append(records, backend(fmt.Sprintf("x%d", n), "orders", []string{"a", "b"}[n%2], []catalog.Status{catalog.Ready, catalog.Silent}[n%2]))
	}
	qt.Assert(t, s.SetTable(0, s.Table().WithServers(records)), qt.IsTrue)
	zones, _ = placeFlows(s, 50, 50)
	qt.Assert(t, zones, qt.DeepEquals, map[string]int{"a": 50})
}

// Guards against refusals of another priority or service, and against a refused flow
// that leaves state behind.
func TestRefusalsByPriority(t *testing.T) {
	c := qt.New(t)
	s := newPlanSteerer(t)
	s.SetPlan(nil, []admission.Refusal{{Service: "orders", Priority: 1, Percent: 20}, {Service: "photos", Priority: 1, Percent: 90}})
	zones, _ := placeFlows(s, 0, 100)
	c.Assert(zones["overload"] >= 19 && zones["overload"] <= 20, qt.IsTrue, qt.Commentf("%v", zones))
	c.Assert(zones["a"], qt.Equals, 100-zones["overload"])
	s.SetPlan(nil, []admission.Refusal{{Service: "orders", Priority: 2, Percent: 90}})
	zones, _ = placeFlows(s, 100, 100)
	c.Assert(zones, qt.DeepEquals, map[string]int{"a": 100})
}

// Guards against shares of two zones that become due with the same flow, of which one was
// lost: a zone without room then kept half of what was to leave it.
func TestPlannedSharesOfTwoZones(t *testing.T) {
	s := newPlanSteerer(t)
	var records []catalog.Record
	for n, zone := range []string{"a", "b", "c"} {
		records = append(records, backend(fmt.Sprint("x", n), "orders", zone, catalog.Ready))
	}
	qt.Assert(t, s.SetTable(0, s.Table().WithServers(records)), qt.IsTrue)
	s.SetPlan([]ZoneShare{{Service: "orders", Zone: "b", Share: 0.3}, {Service: "orders", Zone: "c", Share: 0.3}}, nil)
	zones, _ := placeFlows(s, 0, 100)
	for _, zone := range []string{"b", "c"} {
		qt.Check(t, zones[zone] >= 28 && zones[zone] <= 31, qt.IsTrue, qt.Commentf("%v", zones))
	}
}

// Guards against plans that follow each other faster than this host places flows: with
// remainders that began anew at 0, no flow left the zone and none was refused.
func TestRemaindersOutliveThePlan(t *testing.T) {
	s := newPlanSteerer(t)
	sum := map[string]int{}
	for n := range 100 {
		s.SetPlan([]ZoneShare{{Service: "orders", Zone: "b", Share: 0.4 + 0.1*float64(n%2)}}, []admission.Refusal{{Service: "orders", Priority: 1, Percent: 20}})
		zones, _ := placeFlows(s, 2*n, 2)
		for name, flows := range zones {
			sum[name] += flows
		}
	}
	qt.Check(t, sum["overload"] >= 39 && sum["overload"] <= 41, qt.IsTrue, qt.Commentf("%v", sum))
	qt.Check(t, sum["b"] >= 70 && sum["b"] <= 74, qt.IsTrue, qt.Commentf("%v", sum)) // 0.45 of the other 160
}
