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

// started returns a world with one service that has been placed.
func started(buckets, backends int) *world {
	w := newWorld(3, 6, service("s", buckets)...)
	w.add("s", backends)
	w.run(2 * time.Second)
	return w
}

func TestFirstPlacementIsExactAndStable(t *testing.T) {
	c := qt.New(t)
	w := started(64, 6)
	c.Assert(w.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 64})
	for id, n := range w.opening("s") {
		c.Assert(n == 10 || n == 11, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
	c.Assert(w.step().Empty(), qt.IsTrue)
}

func TestMoveWaitsForEveryHost(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	w.lagging["h03"] = true
	w.backends[0].State = model.Draining
	w.run(5 * time.Second)
	c.Assert(w.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 48, table.Prepare: 16})
	c.Assert(w.opening("s")["s-00"], qt.Equals, 16)
	w.host("h03").LeaseOut = true
	w.run(time.Second)
	c.Assert(w.phases("s"), qt.DeepEquals, map[table.Phase]int{table.Stable: 48, table.Move: 16})
	c.Assert(w.opening("s")["s-00"], qt.Equals, 0)
}

func TestMoveEndsOnceTheHomeIsDone(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	drained := w.num("s-00")
	w.backends[0].State = model.Draining
	w.run(time.Second)
	for _, b := range w.buckets("s") {
		if b.Moving() {
			c.Assert(b.Unknown(), qt.Equals, drained)
		}
	}
	w.settled = true
	w.step()
	c.Assert(w.phases("s")[table.Settle], qt.Equals, 16)
	for _, b := range w.buckets("s") {
		c.Assert(b.Unknown(), qt.Equals, b.Opening())
	}
	w.step()
	c.Assert(w.phases("s")[table.Stable], qt.Equals, 64)
}

func TestDrainBySettingAndReturnToFormerBuckets(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	before := w.buckets("s")
	w.change(set("/s/b/s-01", settings.BackendDrain, "true"))
	w.run(time.Second)
	c.Assert(w.opening("s")["s-01"], qt.Equals, 0)
	w.change(settings.Op{Action: settings.Unset, Path: "/s/b/s-01", Key: settings.BackendDrain})
	w.run(time.Second)
	for i, b := range w.buckets("s") {
		c.Assert(b.Opening(), qt.Equals, before[i].Opening())
	}
}

func TestDrainDuringMoveGoesToTheNextCandidate(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	for i := range 3 {
		w.backends[i].State = model.Draining
		w.run(time.Second)
	}
	c.Assert(w.opening("s"), qt.DeepEquals, map[string]int{"s-03": 64})
	for i := range 3 {
		w.backends[i].State = model.Ready
	}
	w.run(time.Second)
	for id, n := range w.opening("s") {
		c.Assert(n, qt.Equals, 16, qt.Commentf(id))
	}
}

func TestLostBackendIsReplacedAtOnceAndForgottenLater(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	w.lagging["h01"] = true
	lost := w.num("s-02")
	w.backends[2].State = model.Gone
	w.step()
	c.Assert(w.opening("s")["s-02"], qt.Equals, 0)
	c.Assert(w.state.Placement.Backends[lost].State, qt.Equals, model.Gone)
	w.run(3 * time.Minute)
	c.Assert(w.phases("s")[table.Stable], qt.Equals, 64)
	c.Assert(w.state.Placement.Backends, qt.HasLen, 3)
}

func TestLossOfAllBackendsEmptiesTheBuckets(t *testing.T) {
	c := qt.New(t)
	w := started(16, 1)
	w.backends = nil
	w.run(15 * time.Second)
	c.Assert(w.state.Placement.Backends[w.num("s-00")].State, qt.Equals, model.Gone)
	w.run(3 * time.Minute)
	c.Assert(w.buckets("s")[0].Len(), qt.Equals, 0)
}

func TestSameIDInAnotherServiceIsAnotherBackend(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 3, append(service("s", 16), service("t", 16)...)...)
	w.add("s", 2)
	w.run(2 * time.Second)
	old := w.num("s-00")
	w.backends[0].Service = "t"
	w.run(15 * time.Second)
	for _, b := range w.buckets("t") {
		c.Assert(b.Has(old), qt.IsFalse)
		c.Assert(b.Len(), qt.Equals, 1)
	}
}

func TestZonesOfTheServiceAreKept(t *testing.T) {
	c := qt.New(t)
	w := started(64, 6)
	w.change(set("/s", settings.ServiceZones, `["a","b"]`))
	w.run(time.Second)
	for _, b := range w.buckets("s") {
		c.Assert(w.state.Placement.Backends[b.Opening()].Zone, qt.Not(qt.Equals), "c")
	}
}

func TestCutZoneKeepsItsFlows(t *testing.T) {
	c := qt.New(t)
	w := started(60+4, 6)
	before := w.buckets("s")
	all := append([]model.Backend(nil), w.backends...)
	for i := range w.hosts {
		w.hosts[i].LeaseOut = w.hosts[i].Zone == "c"
	}
	for i := range w.backends {
		if w.backends[i].Zone == "c" {
			w.backends[i].State = model.Gone // its announcements lapsed
		}
	}
	w.run(5 * time.Minute)
	for i, b := range w.buckets("s") {
		c.Assert(w.state.Placement.Backends[b.Opening()].Zone, qt.Not(qt.Equals), "c")
		c.Assert(b.Unknown(), qt.Equals, before[i].Opening())
	}
	c.Assert(w.state.Placement.Hosts, qt.HasLen, 6)
	w.backends = all
	for i := range w.hosts {
		w.hosts[i].LeaseOut = false
	}
	w.run(5 * time.Second)
	for i, b := range w.buckets("s") {
		c.Assert(b.Unknown(), qt.Equals, before[i].Opening(), qt.Commentf("bucket %d", i))
	}
	c.Assert(w.opening("s")["s-02"] >= 10, qt.IsTrue)
}

func TestNewPlannerWaitsForWhatItHasNotHeard(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	hosts, backends := w.hosts, w.backends
	w.planner, w.hosts, w.backends = place.NewPlanner(), nil, nil
	for range 50 {
		c.Assert(w.step().Empty(), qt.IsTrue)
	}
	w.hosts, w.backends = hosts, backends
	c.Assert(w.step().Empty(), qt.IsTrue)
}

func TestMovesPerSecondAreBounded(t *testing.T) {
	c := qt.New(t)
	w := started(256, 2)
	w.change(set("/s", settings.BalanceMoveRate, "10"))
	w.add("s", 4)
	w.backends = w.backends[2:]
	w.run(5 * time.Second)
	moved := 256 - w.phases("s")[table.Stable]
	c.Assert(moved >= 40 && moved <= 60, qt.IsTrue, qt.Commentf("%d", moved))
}

func TestRampGrowsToTheFullShare(t *testing.T) {
	c := qt.New(t)
	w := started(64, 3)
	w.change(set("/s", settings.BackendRamp, `"60s"`))
	w.run(time.Minute)
	w.add("s", 4)
	w.backends = w.backends[3:]
	w.run(2 * time.Second)
	first := w.opening("s")["s-03"]
	c.Assert(first >= 1 && first <= 3, qt.IsTrue, qt.Commentf("%d", first))
	w.run(30 * time.Second)
	c.Assert(w.opening("s")["s-03"] > first, qt.IsTrue)
	w.run(35 * time.Second)
	c.Assert(w.opening("s")["s-03"], qt.Equals, 16)
}

func TestWeightsAreApportionedExactly(t *testing.T) {
	c := qt.New(t)
	w := started(64, 4)
	w.backends[0].Weight = 300
	w.change(set("/s/b/s-01", settings.BackendWeight, "0"))
	w.run(time.Second)
	c.Assert(w.opening("s"), qt.DeepEquals, map[string]int{"s-00": 38, "s-02": 13, "s-03": 13})
}

// drainTime is the time within which a draining backend server gets no new
// flow any more.
const drainTime = 3 * time.Second

func TestEachBackendDrainedAndEachHostRestartedInTurn(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 20, set("/s", settings.ServiceZones, `["a","b","c"]`)) // default buckets and rate
	w.add("s", 14)
	w.run(3 * time.Second)
	for i := range 20 {
		drained := &w.backends[i%14]
		drained.State = model.Draining
		w.hosts[i].Incarnation++
		w.run(drainTime)
		c.Assert(w.opening("s")[drained.ID], qt.Equals, 0)
		c.Assert(w.opening("s"), qt.HasLen, 13)
		drained.State = model.Ready
		w.run(drainTime)
	}
	longest := 0
	for _, b := range w.buckets("s") {
		longest = max(longest, b.Len())
		c.Assert(b.Moving() && b.Synced != 3, qt.IsFalse)
	}
	c.Assert(longest <= 2, qt.IsTrue, qt.Commentf("%d candidates", longest))
}
