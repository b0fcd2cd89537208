package spread

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func demand(zone string, busy float64) Demand { return Demand{Service: "s", Zone: zone, Busy: busy} }
func room(zone string, slots float64) Room    { return Room{Service: "s", Zone: zone, Slots: slots} }

// sharesFrom returns the shares that leave a zone, by destination, and their sum.
func sharesFrom(plan []ZoneShare, from string) (map[string]float64, float64) {
	shares, sum := map[string]float64{}, 0.0
	for _, s := range plan {
		if s.From == from {
			shares[s.To] = s.Share
			sum += s.Share
		}
	}
	return shares, sum
}

// Guards against work that leaves a zone with room, against more than the excess
// leaving a full one, and against a zone without backend servers that keeps any.
func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		demands []Demand
		rooms   []Room
		leaves  map[string]float64 // fraction of each zone's flows that leaves it
	}{
		{"room at home", []Demand{demand("a", 30), demand("b", 10)}, []Room{room("a", 60), room("b", 60)}, nil},
		{"excess only", []Demand{demand("a", 60), demand("b", 10)}, []Room{room("a", 60), room("b", 60)}, map[string]float64{"a": 0.3}},
		{"no servers at home", []Demand{demand("a", 10), demand("b", 10)}, []Room{room("b", 60)}, map[string]float64{"a": 1}},
		{"all full alike", []Demand{demand("a", 90), demand("b", 90)}, []Room{room("a", 60), room("b", 60)}, nil},
		{"all full, one more so", []Demand{demand("a", 120), demand("b", 60)}, []Room{room("a", 60), room("b", 60)}, map[string]float64{"a": 0.25}},
		{"no room at all", []Demand{demand("a", 120)}, nil, nil},
		{"no demand", nil, []Room{room("a", 60)}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := Plan(tt.demands, tt.rooms)
			for _, zone := range []string{"a", "b"} {
				_, sum := sharesFrom(plan, zone)
				qt.Check(t, math.Abs(sum-tt.leaves[zone]) < 1e-9, qt.IsTrue, qt.Commentf("%s: %v of its flows leave, want %v", zone, sum, tt.leaves[zone]))
			}
		})
	}
}

func TestExcessGoesWhereRoomIs(t *testing.T) {
	plan := Plan([]Demand{demand("a", 70), demand("b", 32), demand("c", 12)}, []Room{room("a", 60), room("b", 60), room("c", 60)})
	shares, _ := sharesFrom(plan, "a")
	qt.Assert(t, math.Abs(shares["c"]/shares["b"]-3) < 1e-9, qt.IsTrue, qt.Commentf("%v", shares))
}

// waves plays demand that rises and falls by half in three zones whose phases differ,
// with a period of 15 s, and returns the changes of the plan and the largest fraction
// of the slots of one zone that is used.
func waves(mean float64, planned bool) (changes int, fullest float64) {
	const slots, period = 60.0, 15 * time.Second
	zones := []string{"a", "b", "c"}
	rooms := []Room{room("a", slots), room("b", slots), room("c", slots)}
	p := NewPlanner()
	var plan []ZoneShare
	for now := time.Duration(0); now < 60*time.Second; now += 500 * time.Millisecond {
		var demands []Demand
		for i, zone := range zones {
			phase := 2*math.Pi*float64(now)/float64(period) + 2*math.Pi*float64(i)/3
			demands = append(demands, demand(zone, mean*(1+0.55*math.Sin(phase))))
		}
		p.Receive(now, "control", demands)
		if next, changed := p.Tick(now, rooms); changed && planned {
			plan, changes = next, changes+1
		}
		used := map[string]float64{}
		for _, d := range demands {
			shares, away := sharesFrom(plan, d.Zone)
			used[d.Zone] += d.Busy * (1 - away)
			for to, share := range shares {
				used[to] += d.Busy * share
			}
		}
		for _, busy := range used {
			fullest = max(fullest, busy/slots)
		}
	}
	return changes, fullest
}

// Guards against a plan that swings: demand in waves must lower the peak of the zones,
// and below the limit nothing may leave its zone.
func TestWavesOfDemand(t *testing.T) {
	_, alone := waves(45, false)
	changes, planned := waves(45, true)
	t.Logf("fullest zone: %.2f of its slots alone, %.2f with the plan, %d plans a minute", alone, planned, changes)
	qt.Check(t, alone > 1.1, qt.IsTrue)
	qt.Check(t, planned < 1, qt.IsTrue)
	changes, _ = waves(25, true)
	qt.Check(t, changes, qt.Equals, 0)
}

// Guards against demand of a lost control host that stays in the plan.
func TestDemandOfALostControlHostExpires(t *testing.T) {
	c := qt.New(t)
	p := NewPlanner()
	rooms := []Room{room("a", 10), room("b", 10)}
	for now := time.Duration(0); now < 10*time.Second; now += 500 * time.Millisecond {
		p.Receive(now, "x", []Demand{demand("a", 10)})
		p.Tick(now, rooms)
	}
	c.Assert(p.plan, qt.HasLen, 1)
	for now := 10 * time.Second; now < 40*time.Second; now += 500 * time.Millisecond {
		p.Tick(now, rooms)
	}
	c.Assert(p.plan, qt.HasLen, 0)
	c.Assert(p.Demands(), qt.HasLen, 0)
}
