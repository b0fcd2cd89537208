package route

import (
	"sync"
	"time"

	"greengagequay/internal/flow"
)

// Limits of the stall detection.
const (
	stallEntries = 1 << 17
	stallLocks   = 64
	// minStallPayload excludes keep-alives and window probes, which repeat one
	// byte on a healthy flow.
	minStallPayload = 2
)

// StallDetector finds TCP flows whose client keeps repeating the same packet. It
// remembers the last data packet of a bounded number of flows. If two flows
// share an entry, each packet of one discards the state of the other. It is safe
// for concurrent use.
type StallDetector struct {
	locks   [stallLocks]sync.Mutex
	entries []stallEntry
}

type stallEntry struct {
	flow     uint64
	seq, ack uint32
	since    int64 // when the packet was seen first, in Unix nanoseconds
}

// NewStallDetector returns a detector without any flows.
func NewStallDetector() *StallDetector {
	return &StallDetector{entries: make([]stallEntry, stallEntries)}
}

// Observe records a packet and reports whether its flow has repeated it for at
// least the timeout.
func (s *StallDetector) Observe(now time.Time, timeout time.Duration, hash uint64, p *flow.Packet) bool {
	if !p.TCP() || p.PayloadLen < minStallPayload {
		return false
	}
	i := hash >> 7 % stallEntries
	lock := &s.locks[i%stallLocks]
	lock.Lock()
	defer lock.Unlock()
	e := &s.entries[i]
	if e.flow != hash || e.seq != p.Seq || e.ack != p.Ack {
		*e = stallEntry{flow: hash, seq: p.Seq, ack: p.Ack, since: now.UnixNano()}
		return false
	}
	if now.UnixNano()-e.since < int64(timeout) {
		return false
	}
	*e = stallEntry{}
	return true
}
