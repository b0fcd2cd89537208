package place_test

import (
	"testing"

	"greengagequay/internal/table"
)

// TestShortFlowsDoNotSwing plays flows that end sooner than loads are judged
// again. A correction that takes full effect before the next one must not move
// buckets to and fro while nothing changes.
func TestShortFlowsDoNotSwing(t *testing.T) {
	for _, life := range []float64{1, 5, 30} {
		for _, f := range fleets[:2] { // one of each size
			l := newLoad(f, life, 1)
			moves := l.moves(settleTime)
			t.Logf("%s, flows of %v s: %d moves in %d s", f.name, life, moves, settleTime)
			if moves > settleTime {
				t.Errorf("%s, flows of %v s: more than one bucket moves a second", f.name, life)
			}
		}
	}
}

// TestReturnedServerGetsAllNewFlows plays a restart after many small moves, by
// which some buckets have nearly as many candidates as they can have.
func TestReturnedServerGetsAllNewFlows(t *testing.T) {
	const reaction = 3 // seconds in which hosts acknowledge the moves
	f := fleets[3]     // of four backend servers, so that buckets move often
	for _, seed := range []uint64{4, 9, 10, 14, 19} {
		l := newLoad(f, meanLife, seed)
		restart(l)
		l.run(reaction)
		returned := l.w.num(l.w.backends[0].ID)
		for _, n := range openings(l.w.buckets(f.name)) {
			if n != returned {
				t.Errorf("%s, seed %d: a bucket stayed with backend server %d", f.name, seed, n)
			}
		}
	}
}

// moves simulates some seconds and counts how often a bucket's new flows went
// to another backend server than before.
func (l *load) moves(seconds int) int {
	count := 0
	for range seconds {
		before := openings(l.w.buckets(l.f.name))
		l.run(1)
		for i, n := range openings(l.w.buckets(l.f.name)) {
			if n != before[i] {
				count++
			}
		}
	}
	return count
}

func openings(buckets []table.Bucket) []table.BackendNum {
	list := make([]table.BackendNum, len(buckets))
	for i := range buckets {
		list[i] = buckets[i].Opening()
	}
	return list
}
