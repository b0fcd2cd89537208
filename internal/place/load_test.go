package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// count sets the flows that entry hosts counted, in the order of the backend
// servers.
func (w *world) count(flows ...float64) {
	w.flows = map[table.BackendNum]float64{}
	for i, n := range flows {
		w.flows[w.num(w.backends[i].ID)] = n
	}
}

func TestCountedOverloadMovesNewFlowsAway(t *testing.T) {
	c := qt.New(t)
	w := started(256, 4)
	w.count(6000, 4700, 4700, 4700)
	w.run(20 * time.Second)
	got := w.opening("s")
	c.Assert(got["s-00"] < 60, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got["s-00"] >= 20, qt.IsTrue, qt.Commentf("%v", got))
	moves := w.state.Revision
	w.run(time.Minute)
	c.Assert(w.state.Revision, qt.Equals, moves, qt.Commentf("the same load moves nothing more"))
}

func TestSmallImbalanceIsNotWorthAMove(t *testing.T) {
	c := qt.New(t)
	w := started(256, 4)
	before := w.state.Revision
	w.count(4800, 4700, 4700, 4700)
	w.run(30 * time.Second)
	c.Assert(w.state.Revision, qt.Equals, before)
	w.change(set("/", settings.BalanceImbalance, "0"))
	w.count(9000, 4700, 4700, 4700)
	before = w.state.Revision
	w.run(30 * time.Second)
	c.Assert(w.state.Revision, qt.Equals, before, qt.Commentf("a weight of 0 never moves for load"))
}

func TestLoadAroundTheLimitDoesNotMoveToAndFro(t *testing.T) {
	c := qt.New(t)
	w := started(256, 4)
	updates := 0
	for i := range 60 {
		if i%2 == 0 {
			w.count(4900, 4700, 4700, 4700)
		} else {
			w.count(4940, 4700, 4700, 4700)
		}
		for range 50 {
			updates += len(w.step().SetBuckets)
		}
	}
	c.Assert(updates <= 100, qt.IsTrue, qt.Commentf("%d updates", updates))
}

func TestLyingClaimTakesATenthAtMost(t *testing.T) {
	c := qt.New(t)
	w := started(256, 4)
	for i, load := range []float64{1e9, 1, 1, 1} {
		w.backends[i].Load = load
	}
	w.run(20 * time.Second)
	got := w.opening("s")["s-00"]
	c.Assert(got >= 57 && got <= 63, qt.IsTrue, qt.Commentf("%d", got))
	w.run(time.Minute)
	c.Assert(w.opening("s")["s-00"], qt.Equals, 64, qt.Commentf("the claim is frozen"))
}

func TestLowClaimGainsNothing(t *testing.T) {
	c := qt.New(t)
	w := started(256, 4)
	before := w.state.Revision
	for i, load := range []float64{0.001, 1, 1, 1} {
		w.backends[i].Load = load
	}
	w.run(30 * time.Second)
	c.Assert(w.state.Revision, qt.Equals, before)
}
