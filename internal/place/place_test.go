package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// newPlacedSimulation returns a simulation with one service whose buckets are
// placed.
func newPlacedSimulation(buckets, backends int) *simulation {
	sim := newSimulation(3, 6, service("s", buckets)...)
	sim.add("s", backends)
	sim.run(2 * time.Second)
	return sim
}

func TestFirstPlacementIsExactAndStable(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 6)
	c.Assert(sim.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 64})
	for id, n := range sim.bucketsByBackend("s") {
		c.Assert(n == 10 || n == 11, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
	c.Assert(sim.step().Empty(), qt.IsTrue)
}

func TestMoveWaitsForEveryHost(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	sim.lagging["h03"] = true
	sim.backends[0].State = model.Draining
	sim.run(5 * time.Second)
	c.Assert(sim.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 48, table.Prepare: 16})
	c.Assert(sim.bucketsByBackend("s")["s-00"], qt.Equals, 16)
	sim.host("h03").LeaseExpired = true
	sim.run(time.Second)
	c.Assert(sim.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 48, table.Move: 16})
	c.Assert(sim.bucketsByBackend("s")["s-00"], qt.Equals, 0)
}

func TestMoveEndsOnceTheHomeIsDone(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	drained := sim.backendNum("s-00")
	sim.backends[0].State = model.Draining
	sim.run(time.Second)
	for _, b := range sim.buckets("s") {
		if b.Moving() {
			c.Assert(b.Unknown(), qt.Equals, drained)
		}
	}
	sim.homesDone = true
	sim.step()
	c.Assert(sim.phases("s")[table.Settle], qt.Equals, 16)
	for _, b := range sim.buckets("s") {
		c.Assert(b.Unknown(), qt.Equals, b.Opening())
	}
	sim.step()
	c.Assert(sim.phases("s")[table.Stable], qt.Equals, 64)
}

func TestDrainBySettingAndReturnToFormerBuckets(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	before := sim.buckets("s")
	sim.changeSettings(set("/s/b/s-01", settings.BackendDrain, "true"))
	sim.run(time.Second)
	c.Assert(sim.bucketsByBackend("s")["s-01"], qt.Equals, 0)
	sim.changeSettings(settings.Op{Action: settings.Unset, Path: "/s/b/s-01", Key: settings.BackendDrain})
	sim.run(time.Second)
	for i, b := range sim.buckets("s") {
		c.Assert(b.Opening(), qt.Equals, before[i].Opening())
	}
}

func TestDrainDuringMoveGoesToTheNextCandidate(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	for i := range 3 {
		sim.backends[i].State = model.Draining
		sim.run(time.Second)
	}
	c.Assert(sim.bucketsByBackend("s"), qt.DeepEquals, map[string]int{"s-03": 64})
	for i := range 3 {
		sim.backends[i].State = model.Ready
	}
	sim.run(time.Second)
	for id, n := range sim.bucketsByBackend("s") {
		c.Assert(n, qt.Equals, 16, qt.Commentf(id))
	}
}

func TestLostBackendIsReplacedAtOnceAndForgottenLater(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	sim.lagging["h01"] = true
	lost := sim.backendNum("s-02")
	sim.backends[2].State = model.Gone
	sim.step()
	c.Assert(sim.bucketsByBackend("s")["s-02"], qt.Equals, 0)
	c.Assert(sim.state.Placement.Backends[lost].State, qt.Equals, model.Gone)
	sim.run(3 * time.Minute)
	c.Assert(sim.phases("s")[table.Stable], qt.Equals, 64)
	c.Assert(sim.state.Placement.Backends, qt.HasLen, 3)
}

func TestLossOfAllBackendsEmptiesTheBuckets(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(16, 1)
	sim.backends = nil
	sim.run(15 * time.Second)
	c.Assert(sim.state.Placement.Backends[sim.backendNum("s-00")].State, qt.Equals, model.Gone)
	sim.run(3 * time.Minute)
	c.Assert(sim.buckets("s")[0].Len(), qt.Equals, 0)
}

func TestSameIDInAnotherServiceIsAnotherBackend(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 3, append(service("s", 16), service("t", 16)...)...)
	sim.add("s", 2)
	sim.run(2 * time.Second)
	old := sim.backendNum("s-00")
	sim.backends[0].Service = "t"
	sim.run(15 * time.Second)
	for _, b := range sim.buckets("t") {
		c.Assert(b.Has(old), qt.IsFalse)
		c.Assert(b.Len(), qt.Equals, 1)
	}
}

func TestOnlyZonesOfTheServiceAreUsed(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 6)
	sim.changeSettings(set("/s", settings.ServiceZones, `["a","b"]`))
	sim.run(time.Second)
	for _, b := range sim.buckets("s") {
		c.Assert(sim.state.Placement.Backends[b.Opening()].Zone, qt.Not(qt.Equals), "c")
	}
}

func TestCutZoneKeepsItsFlows(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(60+4, 6)
	before := sim.buckets("s")
	all := append([]model.Backend(nil), sim.backends...)
	for i := range sim.hosts {
		sim.hosts[i].LeaseExpired = sim.hosts[i].Zone == "c"
	}
	for i := range sim.backends {
		if sim.backends[i].Zone == "c" {
			sim.backends[i].State = model.Gone // its announcement expired
		}
	}
	sim.run(5 * time.Minute)
	for i, b := range sim.buckets("s") {
		c.Assert(sim.state.Placement.Backends[b.Opening()].Zone, qt.Not(qt.Equals), "c")
		c.Assert(b.Unknown(), qt.Equals, before[i].Opening())
	}
	c.Assert(sim.state.Placement.Hosts, qt.HasLen, 6)
	sim.backends = all
	for i := range sim.hosts {
		sim.hosts[i].LeaseExpired = false
	}
	sim.run(5 * time.Second)
	for i, b := range sim.buckets("s") {
		c.Assert(b.Unknown(), qt.Equals, before[i].Opening(), qt.Commentf("bucket %d", i))
	}
	c.Assert(sim.bucketsByBackend("s")["s-02"] >= 10, qt.IsTrue)
}

func TestNewPlannerWaitsForReports(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	hosts, backends := sim.hosts, sim.backends
	sim.planner, sim.hosts, sim.backends = place.NewPlanner(), nil, nil
	for range 50 {
		c.Assert(sim.step().Empty(), qt.IsTrue)
	}
	sim.hosts, sim.backends = hosts, backends
	c.Assert(sim.step().Empty(), qt.IsTrue)
}

func TestMovesPerSecondAreBounded(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 2)
	sim.changeSettings(set("/s", settings.BalanceMoveRate, "10"))
	sim.add("s", 4)
	sim.backends = sim.backends[2:]
	sim.run(5 * time.Second)
	moved := 256 - sim.phases("s")[table.Stable]
	c.Assert(moved >= 40 && moved <= 60, qt.IsTrue, qt.Commentf("%d", moved))
}

func TestRampGrowsToTheFullShare(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 3)
	sim.changeSettings(set("/s", settings.BackendRamp, `"60s"`))
	sim.run(time.Minute)
	sim.add("s", 4)
	sim.backends = sim.backends[3:]
	sim.run(2 * time.Second)
	first := sim.bucketsByBackend("s")["s-03"]
	c.Assert(first >= 1 && first <= 3, qt.IsTrue, qt.Commentf("%d", first))
	sim.run(30 * time.Second)
	c.Assert(sim.bucketsByBackend("s")["s-03"] > first, qt.IsTrue)
	sim.run(35 * time.Second)
	c.Assert(sim.bucketsByBackend("s")["s-03"], qt.Equals, 16)
}

func TestWeightsAreApportionedExactly(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(64, 4)
	sim.backends[0].Weight = 300
	sim.changeSettings(set("/s/b/s-01", settings.BackendWeight, "0"))
	sim.run(time.Second)
	c.Assert(sim.bucketsByBackend("s"), qt.DeepEquals, map[string]int{"s-00": 38, "s-02": 13, "s-03": 13})
}

// drainTime is the time after which a draining backend server must get no new
// flows.
const drainTime = 3 * time.Second

func TestEachBackendDrainedAndEachHostRestartedInTurn(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 20, set("/s", settings.ServiceZones, `["a","b","c"]`)) // default number of buckets and default move rate
	sim.add("s", 14)
	sim.run(3 * time.Second)
	for i := range 20 {
		drained := &sim.backends[i%14]
		drained.State = model.Draining
		sim.hosts[i].Incarnation++
		sim.run(drainTime)
		c.Assert(sim.bucketsByBackend("s")[drained.ID], qt.Equals, 0)
		c.Assert(sim.bucketsByBackend("s"), qt.HasLen, 13)
		drained.State = model.Ready
		sim.run(drainTime)
	}
	longest := 0
	for _, b := range sim.buckets("s") {
		longest = max(longest, b.Len())
		c.Assert(b.Moving() && b.Synced != 3, qt.IsFalse)
	}
	c.Assert(longest <= 2, qt.IsTrue, qt.Commentf("%d candidates", longest))
}
