package route

import (
	"sync"
	"time"

	"greengagequay/internal/flow"
)

// Sizes of the stall detection.
const (
	stallSlots = 1 << 17
	stallLocks = 64
	// minStallPayload leaves out keep-alives and window probes, which repeat
	// one byte on a healthy flow.
	minStallPayload = 2
)

// Stalls finds TCP flows whose client repeats itself without progress. It
// keeps the last data packet of a bounded number of flows; a flow that is
// displaced by another is watched anew. It is safe for concurrent use.
type Stalls struct {
	locks [stallLocks]sync.Mutex
	slots []stallSlot
}

type stallSlot struct {
	flow     uint64
	seq, ack uint32
	since    int64 // Unix nanoseconds of the first such packet
}

// NewStalls returns a detector.
func NewStalls() *Stalls {
	return &Stalls{slots: make([]stallSlot, stallSlots)}
}

// Seen notes a packet and reports whether its flow has repeated itself for the
// timeout.
func (s *Stalls) Seen(now time.Time, timeout time.Duration, hash uint64, p *flow.Packet) bool {
	if !p.TCP() || p.Payload < minStallPayload {
		return false
	}
	i := hash >> 7 % stallSlots
	lock := &s.locks[i%stallLocks]
	lock.Lock()
	defer lock.Unlock()
	e := &s.slots[i]
	if e.flow != hash || e.seq != p.Seq || e.ack != p.Ack {
		*e = stallSlot{flow: hash, seq: p.Seq, ack: p.Ack, since: now.UnixNano()}
		return false
	}
	if now.UnixNano()-e.since < int64(timeout) {
		return false
	}
	*e = stallSlot{}
	return true
}
