package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// setFlows sets the numbers of open flows counted by the entry hosts, in the order
// of sim.backends.
func (sim *simulation) setFlows(flows ...float64) {
	sim.flows = map[table.BackendNum]float64{}
	for i, n := range flows {
		sim.flows[sim.backendNum(sim.backends[i].ID)] = n
	}
}

func TestCountedOverloadMovesNewFlowsAway(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 4)
	sim.setFlows(6000, 4700, 4700, 4700)
	sim.run(20 * time.Second)
	got := sim.bucketsByBackend("s")
	c.Assert(got["s-00"] < 60, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got["s-00"] >= 20, qt.IsTrue, qt.Commentf("%v", got))
	before := sim.state.Revision
	sim.run(time.Minute)
	c.Assert(sim.state.Revision, qt.Equals, before, qt.Commentf("an unchanged load causes no further moves"))
}

func TestSmallImbalanceMovesNothing(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 4)
	before := sim.state.Revision
	sim.setFlows(4800, 4700, 4700, 4700)
	sim.run(30 * time.Second)
	c.Assert(sim.state.Revision, qt.Equals, before)
	sim.changeSettings(set("/", settings.BalanceImbalance, "0"))
	sim.setFlows(9000, 4700, 4700, 4700)
	before = sim.state.Revision
	sim.run(30 * time.Second)
	c.Assert(sim.state.Revision, qt.Equals, before, qt.Commentf("a balance.imbalance_weight of 0 moves no bucket for load"))
}

func TestLoadNearTheThresholdDoesNotOscillate(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 4)
	updates := 0
	for i := range 60 {
		if i%2 == 0 {
			sim.setFlows(4900, 4700, 4700, 4700)
		} else {
			sim.setFlows(4940, 4700, 4700, 4700)
		}
		for range 50 {
			updates += len(sim.step().SetBuckets)
		}
	}
	c.Assert(updates <= 100, qt.IsTrue, qt.Commentf("%d updates", updates))
}

func TestLyingClaimTakesATenthAtMost(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 4)
	for i, load := range []float64{1e9, 1, 1, 1} {
		sim.backends[i].Load = load
	}
	sim.run(20 * time.Second)
	got := sim.bucketsByBackend("s")["s-00"]
	c.Assert(got >= 57 && got <= 63, qt.IsTrue, qt.Commentf("%d", got))
	sim.run(time.Minute)
	c.Assert(sim.bucketsByBackend("s")["s-00"], qt.Equals, 64, qt.Commentf("an unchanged claim no longer counts"))
}

func TestLowClaimGainsNothing(t *testing.T) {
	c := qt.New(t)
	sim := newPlacedSimulation(256, 4)
	before := sim.state.Revision
	for i, load := range []float64{0.001, 1, 1, 1} {
		sim.backends[i].Load = load
	}
	sim.run(30 * time.Second)
	c.Assert(sim.state.Revision, qt.Equals, before)
}
