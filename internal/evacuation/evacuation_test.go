package evacuation

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

var seeds = flag.Int("seeds", 200, "number of random sequences of orders")

// modelOrder is an order as a control host received it.
type modelOrder struct {
	order Order
	seen  int // number of log entries that the host had applied
}

// Guards against a delayed order, or a duplicate of one, that undoes an order which was
// accepted after a control host had received the delayed one. Several hosts whose
// replicas lag receive orders, which reach the log late, out of order, and twice.
func TestRandomOrders(t *testing.T) {
	for seed := range uint64(*seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sets := []Set{{}}               // after each log entry
		accepted := map[string][]int{}  // log entries with accepted orders, by zone
		evacuated := map[string]bool{}  // zones that are evacuated
		var waiting []modelOrder        // orders that the log has not received yet
		zones := []string{"a", "b", ""} // the rules do not depend on the name
		for range 300 {
			if rng.IntN(2) == 0 || len(waiting) == 0 {
				seen := max(0, len(sets)-1-rng.IntN(4))
				o := Order{Zone: zones[rng.IntN(len(zones))], Evacuate: rng.IntN(2) == 0}
				known, _ := sets[seen].Find(o.Zone)
				o.Base = known.Latest
				waiting = append(waiting, modelOrder{o, seen})
				continue
			}
			at := rng.IntN(len(waiting))
			m := waiting[at]
			if rng.IntN(4) != 0 { // else it arrives again
				waiting = slices.Delete(waiting, at, at+1)
			}
			entry, zone := len(sets), m.order.Zone
			before := sets[entry-1]
			next, err := before.Apply(uint64(entry), m.order)
			sets = append(sets, next)

			list := accepted[zone]
			superseded := len(list) > 0 && list[len(list)-1] > m.seen
			changes := evacuated[zone] != m.order.Evacuate
			if changes && superseded {
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("seed %d, entry %d", seed, entry))
				qt.Assert(t, fault.KindOf(err), qt.Equals, fault.Conflict)
				qt.Assert(t, next, qt.DeepEquals, before)
				continue
			}
			qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d, entry %d", seed, entry))
			accepted[zone], evacuated[zone] = append(list, entry), m.order.Evacuate
			state, _ := next.Find(zone)
			qt.Assert(t, state.Evacuated, qt.Equals, m.order.Evacuate)
			want := before.Revision
			if changes {
				want = uint64(entry)
			}
			qt.Assert(t, next.Revision, qt.Equals, want, qt.Commentf("seed %d, entry %d", seed, entry))
		}
	}
}

// Guards against an unacknowledged "end" that takes effect after the operator gave it
// up and repeated "start", which changed nothing.
func TestRepeatedOrderSupersedesEarlierOnes(t *testing.T) {
	c := qt.New(t)
	s, err := Set{}.Apply(5, Order{Zone: "a", Evacuate: true, At: time.Unix(1, 0)})
	c.Assert(err, qt.IsNil)
	delayed := Order{Zone: "a", Base: 5}
	s, err = s.Apply(6, Order{Zone: "a", Evacuate: true, Base: 5, At: time.Unix(2, 0)})
	c.Assert(err, qt.IsNil)
	c.Assert(s.Zones[0], qt.Equals, ZoneState{Zone: "a", Evacuated: true, Revision: 5, At: time.Unix(1, 0), Latest: 6})
	_, err = s.Apply(7, delayed)
	c.Assert(err, qt.IsNotNil)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
}

func TestCheckZone(t *testing.T) {
	known := func(zone string) bool { return zone != "unknown" }
	for _, zone := range []string{"", "unknown", "\xff", strings.Repeat("z", maxZoneBytes+1)} {
		err := CheckZone(zone, known)
		qt.Check(t, fault.KindOf(err), qt.Equals, fault.Invalid, qt.Commentf("%.10q", zone))
		qt.Check(t, err, qt.ErrorMatches, ".*zone.*; .+")
	}
	qt.Check(t, CheckZone(strings.Repeat("z", maxZoneBytes), known), qt.IsNil)
}
