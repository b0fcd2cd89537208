package locality_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/locality"
)

func TestShares(t *testing.T) {
	zone := func(name string, capacity, load float64) locality.Zone {
		return locality.Zone{Name: name, Capacity: capacity, Load: load, Reachable: true}
	}
	unreachable := zone("b", 10, 0)
	unreachable.Reachable = false
	for _, tc := range []struct {
		name  string
		zones []locality.Zone
		want  []float64
	}{
		{"own zone below target", []locality.Zone{zone("a", 10, 5), zone("b", 10, 0)}, []float64{1, 0}},
		{"own zone below target, others full", []locality.Zone{zone("a", 10, 5), zone("b", 10, 10)}, []float64{1, 0}},
		{"half overflows", []locality.Zone{zone("a", 10, 16), zone("b", 10, 0)}, []float64{0.5, 0.5}},
		{"overflow goes to zones below target", []locality.Zone{zone("a", 10, 16), zone("b", 10, 8), zone("c", 10, 4)}, []float64{0.5, 0, 0.5}},
		{"all full", []locality.Zone{zone("a", 10, 10), zone("b", 30, 30)}, []float64{0.25, 0.75}},
		{"no capacity in own zone", []locality.Zone{zone("a", 0, 0), zone("b", 10, 2)}, []float64{0, 1}},
		{"other zone unreachable", []locality.Zone{zone("a", 10, 16), unreachable}, []float64{1, 0}},
		{"nothing", []locality.Zone{zone("a", 0, 0), unreachable}, []float64{0, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := locality.Shares("a", tc.zones)
			for i := range got {
				qt.Check(t, math.Abs(got[i]-tc.want[i]) < 1e-9, qt.IsTrue, qt.Commentf("%v, want %v", got, tc.want))
			}
		})
	}
}

func TestSharesSumToOne(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		zones := make([]locality.Zone, 1+r.IntN(5))
		anyUsable := false
		for i := range zones {
			zones[i] = locality.Zone{Name: string(rune('a' + i)), Capacity: float64(r.IntN(3) * 10), Load: float64(r.IntN(30)), Reachable: r.IntN(4) > 0}
			anyUsable = anyUsable || zones[i].Reachable && zones[i].Capacity > 0
		}
		total := 0.0
		for i, s := range locality.Shares("a", zones) {
			qt.Assert(t, s >= 0 && (s == 0 || zones[i].Reachable), qt.IsTrue)
			total += s
		}
		qt.Assert(t, math.Abs(total-1) < 1e-9 || !anyUsable && total == 0, qt.IsTrue, qt.Commentf("%v", zones))
	}
}
