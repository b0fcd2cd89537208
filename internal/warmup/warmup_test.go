package warmup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against admissions and gates that exceed a bound with two generations, and
// against hosts of other zones that are chosen before those of the zone.
func TestBoundHolds(t *testing.T) {
	var hosts []Host
	for n := range 27 {
		hosts = append(hosts, Host{Addr: fmt.Sprint("h", n), Zone: string(rune('a' + n%3))})
	}
	for perSecond := 1; perSecond <= 200; perSecond++ {
		for known := 1; known <= len(hosts); known++ {
			a := Assign("x", "a", hosts[:known], perSecond)
			all := len(a.Hosts) * a.Each
			qt.Assert(t, all >= 1 && (generations*all <= perSecond || !HasSpare(perSecond) && all <= perSecond), qt.IsTrue, qt.Commentf("%d flows of %d", all, perSecond))
			qt.Assert(t, a.EachWithin(perSecond), qt.Equals, a.Each)
		}
	}
	qt.Assert(t, Bound{Overage: 1.5, Slack: 5}.PerSecond(50), qt.Equals, 80)
	local := Assign("x", "c", hosts, 80)
	qt.Assert(t, local.Hosts, qt.HasLen, maxHosts)
	for _, h := range hosts {
		qt.Assert(t, h.Zone == "c" || !slices.Contains(local.Hosts, h.Addr), qt.IsTrue)
	}
	conflict := Assign("x", "a", hosts, 80)
	qt.Assert(t, Latest(&conflict, &local), qt.DeepEquals, Latest(&local, &conflict))
	qt.Assert(t, Latest(&conflict, &local).Final, qt.IsTrue, qt.Commentf("the other one may be in force somewhere"))
	var g Gate
	for now, opened := time.Duration(0), []time.Duration(nil); now < 10*time.Second; now += 10 * time.Millisecond {
		if g.Allows(now, "x", 1, local.Each) {
			g.Record(now, "x", 1)
			opened = append(opened, now)
		}
		n := len(opened) - 1 - local.Each
		qt.Assert(t, n < 0 || opened[n+local.Each]-opened[n] > time.Second, qt.IsTrue)
	}
}
