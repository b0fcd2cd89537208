package place_test

import (
	"testing"

	"greengagequay/internal/table"
)

// TestShortFlowsDoNotOscillate simulates flows that end within seconds, so that a
// correction may take full effect before the next evaluation. Corrections must not
// keep moving buckets back and forth while nothing else changes.
func TestShortFlowsDoNotOscillate(t *testing.T) {
	for _, meanDuration := range []float64{1, 5, 30} {
		for _, size := range serviceSizes[:2] { // one service of each size
			l := newFlowLoad(size, meanDuration, 1)
			moves := l.moves(settleTime)
			t.Logf("%s, flows of %v s: %d moves in %d s", size.name, meanDuration, moves, settleTime)
			if moves > settleTime {
				t.Errorf("%s, flows of %v s: more than one bucket moves a second", size.name, meanDuration)
			}
		}
	}
}

// TestRestartedServerGetsAllNewFlows simulates a restart after many small moves,
// which have filled the candidates of some buckets nearly to the limit. All buckets
// must still move their new flows to the restarted backend server.
func TestRestartedServerGetsAllNewFlows(t *testing.T) {
	const ackTime = 3       // seconds, enough for the hosts to acknowledge the moves
	size := serviceSizes[3] // four backend servers only, so that buckets move often
	for _, seed := range []uint64{4, 9, 10, 14, 19} {
		l := newFlowLoad(size, meanFlowDuration, seed)
		restart(l)
		l.run(ackTime)
		restarted := l.sim.backendNum(l.sim.backends[0].ID)
		for _, n := range targets(l.sim.buckets(size.name)) {
			if n != restarted {
				t.Errorf("%s, seed %d: a bucket stayed with backend server %d", size.name, seed, n)
			}
		}
	}
}

// moves runs the simulation for some seconds and returns how often a bucket's new
// flows changed to another backend server.
func (l *flowLoad) moves(seconds int) int {
	count := 0
	for range seconds {
		before := targets(l.sim.buckets(l.size.name))
		l.run(1)
		for i, n := range targets(l.sim.buckets(l.size.name)) {
			if n != before[i] {
				count++
			}
		}
	}
	return count
}

// targets returns for each bucket the backend server that takes its new flows.
func targets(buckets []table.Bucket) []table.BackendNum {
	list := make([]table.BackendNum, len(buckets))
	for i := range buckets {
		list[i] = buckets[i].Opening()
	}
	return list
}
