package evacuation

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

var seeds = flag.Int("seeds", 200, "number of random sequences of orders")

// Guards against a delayed order, or a duplicate of one, that undoes an order which was
// accepted after a control host had received the delayed one. Several hosts whose
// replicas lag receive orders, which reach the log late, out of order, and twice.
func TestRandomOrders(t *testing.T) {
	type received struct {
		Order
		seen int // log entries that the receiving host had applied
	}
	for seed := range uint64(*seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sets := []Set{{}}               // after each log entry
		latest := map[string]int{}      // log entry of the latest accepted order, by zone
		evacuated := map[string]bool{}  // the zones' states
		var waiting []received          // orders that the log has not received yet
		zones := []string{"a", "b", ""} // the rules do not depend on the name
		for range 300 {
			if rng.IntN(2) == 0 || len(waiting) == 0 {
				seen := max(0, len(sets)-1-rng.IntN(4))
				zone := zones[rng.IntN(len(zones))]
				known, _ := sets[seen].Find(zone)
				waiting = append(waiting, received{Order{Zone: zone, Evacuate: rng.IntN(2) == 0, Base: known.Latest}, seen})
				continue
			}
			at := rng.IntN(len(waiting))
			o := waiting[at]
			if rng.IntN(4) != 0 { // else it arrives again
				waiting = slices.Delete(waiting, at, at+1)
			}
			comment := qt.Commentf("seed %d, entry %d", seed, len(sets))
			entry, before := len(sets), sets[len(sets)-1]
			next, err := before.Apply(uint64(entry), o.Order)
			sets = append(sets, next)
			changes := evacuated[o.Zone] != o.Evacuate
			if changes && latest[o.Zone] > o.seen {
				qt.Assert(t, err, qt.IsNotNil, comment)
				qt.Assert(t, fault.KindOf(err), qt.Equals, fault.Conflict, comment)
				qt.Assert(t, next, qt.DeepEquals, before, comment)
				continue
			}
			qt.Assert(t, err, qt.IsNil, comment)
			latest[o.Zone], evacuated[o.Zone] = entry, o.Evacuate
			state, _ := next.Find(o.Zone)
			qt.Assert(t, state.Evacuated, qt.Equals, o.Evacuate, comment)
			qt.Assert(t, next.Revision != before.Revision, qt.Equals, changes, comment)
		}
	}
}
