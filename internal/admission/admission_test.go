package admission

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// overload models a service with a number of slots, requests of two priorities that
// take a tenth of their target latency, and a queue that makes all of them slower. It
// returns the requests of each priority that are answered in time a second, and the
// refusals at the end.
func overload(offered [2]float64, slots float64, controlled bool) (inTime [2]float64, refusals []Refusal) {
	const ticks = 240
	c := NewController()
	for range ticks {
		admitted := offered
		if controlled {
			for _, r := range refusals {
				admitted[r.Priority] *= 1 - float64(r.Percent)/100
			}
		}
		ratio := (admitted[0] + admitted[1]) / slots
		// Below its slots a service answers in 0.1 of the target. Above, a queue of four
		// times the slots is full, the response time is near the target, and what exceeds
		// the slots is rejected.
		pressure, served, busy := 0.1, 1.0, ratio*slots
		if ratio > 1 {
			pressure, served, busy = 1.1, 1/ratio, 5*slots
		}
		refusals = c.Tick("s", []Class{
			{Service: "s", Priority: 0, Busy: busy * admitted[0] / (admitted[0] + admitted[1]), Pressure: pressure},
			{Service: "s", Priority: 1, Busy: busy * admitted[1] / (admitted[0] + admitted[1]), Pressure: pressure},
		}, slots)
		for p := range inTime {
			if pressure <= 1 {
				inTime[p] += admitted[p] * served / ticks
			}
		}
	}
	return inTime, refusals
}

// Guards against an overload in which every request is late, and against refusals of
// the higher priority while the lower one still gets flows.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	offered := [2]float64{30, 90}
	without, _ := overload(offered, 80, false)
	with, refusals := overload(offered, 80, true)
	t.Logf("in time a second by priority: %.1f without refusals, %.1f with", without, with)
	c.Check(without[0]+without[1], qt.Equals, 0.0)
	c.Check(with[0] > 0.8*offered[0], qt.IsTrue)
	c.Check(with[1] > 0.3*offered[1], qt.IsTrue)
	for _, r := range refusals {
		c.Check(r.Priority, qt.Equals, 1)
	}
}

// Guards against refusals while backend servers have room, however slow they are.
func TestNothingIsRefusedWithRoom(t *testing.T) {
	c := NewController()
	for range 20 {
		qt.Assert(t, c.Tick("s", []Class{{Service: "s", Busy: 40, Pressure: 3}}, 60), qt.HasLen, 0)
	}
}

// Guards against refusals that stay after the overload, and against a step that drops
// all flows at once.
func TestRefusalsRiseAndFallInSteps(t *testing.T) {
	c := NewController()
	high := []Class{{Service: "s", Priority: 2, Busy: 90, Pressure: 2}, {Service: "s", Priority: 1, Busy: 50, Pressure: 2}}
	for n := range 9 {
		list := c.Tick("s", high, 60)
		qt.Assert(t, list[0].Priority, qt.Equals, 2)
		qt.Assert(t, list[0].Percent, qt.Equals, 10*(n+1))
	}
	qt.Assert(t, c.Tick("s", high, 60), qt.HasLen, 2)
	low := []Class{{Service: "s", Priority: 2, Busy: 9, Pressure: 0.2}}
	for range 10 {
		c.Tick("s", low, 60)
	}
	qt.Assert(t, c.Tick("s", low, 60), qt.HasLen, 0)
}

// Guards against refusals from before all backend servers of a service were lost, which
// would refuse most flows when they return.
func TestNoRefusalsWithoutRoom(t *testing.T) {
	c := NewController()
	classes := []Class{{Service: "s", Priority: 1, Busy: 200, Pressure: 2}}
	for range 5 {
		c.Tick("s", classes, 80)
	}
	qt.Assert(t, c.Tick("s", classes, 0), qt.HasLen, 0)
	qt.Assert(t, c.Tick("s", nil, 80), qt.HasLen, 0)
}
