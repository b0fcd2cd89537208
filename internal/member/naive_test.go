package member_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// naive is the version that ours is measured against: every host sends a
// heartbeat to every other host each second, and holds for dead whoever is
// silent for three seconds.
type naive struct {
	heard [][]time.Duration // by receiver and sender
	bytes []int64
}

type heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Revision    uint64
}

const (
	naiveInterval = time.Second
	naiveSilence  = 3 * time.Second
)

// run returns the false evictions of hosts that all live and, after one host
// died, the time until the last host noticed.
func runNaive(n int, loss float64, d time.Duration, lost func() bool) (v *naive, evictions int, detect time.Duration) {
	v = &naive{heard: make([][]time.Duration, n), bytes: make([]int64, n)}
	for i := range v.heard {
		v.heard[i] = make([]time.Duration, n)
	}
	data, err := cbor.Marshal(heartbeat{Name: "z00-00", Incarnation: 1000, Revision: 1000})
	if err != nil {
		panic(err)
	}
	size := int64(len(data) + headers)
	for at := time.Duration(0); at < d; at += naiveInterval {
		for from := range n {
			for to := range n {
				if from == to {
					continue
				}
				v.bytes[from] += size
				if lost() {
					continue
				}
				v.bytes[to] += size
				if at-v.heard[to][from] > naiveSilence {
					evictions++
				}
				v.heard[to][from] = at
			}
		}
	}
	return v, evictions, naiveSilence + naiveInterval
}
