package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
)

func newShareSteerer(seed uint64, records ...catalog.Record) *Steerer {
	s := New(Config{Zone: "a", Shares: true, Random: rand.NewPCG(seed, 1)})
	s.SetTable(0, Build(testDocument(1), records))
	return s
}

// placed returns the number of flows that go to each of n backend servers.
func placed(s *Steerer, now time.Duration, flows int) map[string]int {
	counts := map[string]int{}
	for i := range flows {
		counts[s.Decide(now, syn(i, orders, 0)).Server.ID]++
	}
	return counts
}

// Guards against flows out of proportion to the shares, and a share of an earlier start
// that is used for the present one.
func TestTurnsFollowShares(t *testing.T) {
	c := qt.New(t)
	s := newShareSteerer(1, backend("x0", "orders", "a", catalog.Ready), backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready))
	c.Assert(placed(s, 0, 300), qt.DeepEquals, map[string]int{"x0": 100, "x1": 100, "x2": 100})
	s.SetShare(TokenOf("x0"), Share{Born: 1, Value: 4})
	s.SetShare(TokenOf("x1"), Share{Born: 7, Value: 1})
	counts := placed(s, 0, 900)
	c.Check(counts["x0"] >= 99 && counts["x0"] <= 101, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["x1"] >= 399 && counts["x1"] <= 401, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against a burst at a backend server that was not used for a while or is new:
// of many hosts each would send it the next flow, or all the flows that it missed.
func TestReturningServerGetsNoBurst(t *testing.T) {
	const hosts = 200
	all := []catalog.Record{}
	for i := range 10 {
		all = append(all, backend(fmt.Sprintf("x%d", i), "orders", "a", catalog.Ready))
	}
	next := 0 // flows to x0 among the first 5 after its return
	for seed := range uint64(hosts) {
		s := newShareSteerer(seed, all...)
		placed(s, 0, 20)
		if seed%2 == 0 {
			s.AddSuspicion(0, "x0", 1)
			placed(s, 0, 200)
		} else {
			s.SetTable(0, Build(testDocument(1), all[1:]))
			placed(s, 0, 200)
			s.SetTable(0, Build(testDocument(1), all))
		}
		counts := placed(s, 2*suspectDuration, 5)
		qt.Check(t, counts["x0"] <= 1, qt.IsTrue, qt.Commentf("%v", counts))
		next += counts["x0"]
	}
	qt.Check(t, next > hosts*3/10 && next < hosts*7/10, qt.IsTrue, qt.Commentf("%d", next))
}

// BenchmarkChoose compares turns with least recent use, among 120 backend servers.
func BenchmarkChoose(b *testing.B) {
	for _, shares := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares=%v", shares), func(b *testing.B) {
			var records []catalog.Record
			for i := range 120 {
				records = append(records, backend(fmt.Sprintf("x%d", i), "orders", "a", catalog.Ready))
			}
			s := newShareSteerer(1, records...)
			s.cfg.Shares = shares
			list, now := s.table.services["orders"], time.Duration(0)
			for b.Loop() {
				now++
				s.lastUsed[s.choose(now, list, nil).ID] = now
			}
		})
	}
}
