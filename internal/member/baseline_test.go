package member_test

import (
	"time"

	"greengagequay/internal/codec"
)

// baseline is the design that the gossip protocol is compared with: every host
// sends a heartbeat to every other host each second, and declares a host dead
// after three seconds without a heartbeat from it.
type baseline struct {
	lastHeartbeat [][]time.Duration // time of the last heartbeat, by receiver and sender
	bytes         []int64
}

type heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Revision    uint64
}

const (
	baselineInterval = time.Second
	baselineTimeout  = 3 * time.Second
)

// runBaseline runs n hosts that all stay alive. It returns the number of false
// evictions and the longest time that it takes to detect a death.
func runBaseline(n int, loss float64, d time.Duration, lost func() bool) (v *baseline, evictions int, detect time.Duration) {
	v = &baseline{lastHeartbeat: make([][]time.Duration, n), bytes: make([]int64, n)}
	for i := range v.lastHeartbeat {
		v.lastHeartbeat[i] = make([]time.Duration, n)
	}
	data, err := codec.Marshal(heartbeat{Name: "z00-00", Incarnation: 1000, Revision: 1000})
	if err != nil {
		panic(err)
	}
	size := int64(len(data) + headerBytes)
	for at := time.Duration(0); at < d; at += baselineInterval {
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
				if at-v.lastHeartbeat[to][from] > baselineTimeout {
					evictions++
				}
				v.lastHeartbeat[to][from] = at
			}
		}
	}
	return v, evictions, baselineTimeout + baselineInterval
}
