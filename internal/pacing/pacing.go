// Package pacing queues and orders the packets that an entry host sends when they
// arrive faster than its link can carry them. A full link drops packets, and each loss
// costs the sender a timeout. So the queue passes packets to the link at the rate of the
// link and holds the others back. It is meant for uploads that arrive in bursts of one
// window, mixed with many short requests, on links of a few Mbit/s. The package is pure:
// no I/O, clock or goroutine.
package pacing

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"greengagequay/internal/steering"
)

// Limits of a queue.
const (
	// burstTime limits how much is passed to the link at once, as the time that the
	// link needs for it. minBurstBytes always lets two packets through.
	burstTime       = 10 * time.Millisecond
	minBurstBytes   = 2500
	maxWaitingBytes = 1 << 20 // further packets are dropped and repeated by their senders
	headerBytes     = 46      // headers of the lower layers, for each packet
	// maxAckTime is how long an acknowledgement may take. A repetition of a packet that
	// was sent less than maxAckTime ago does not mean that the packet was lost.
	maxAckTime      = 15 * time.Millisecond
	maxSentPerFlow  = 64 // most recently sent packets that are remembered for each flow
	flowIdleTimeout = 2 * time.Second
)

// Packet is a packet to be sent.
type Packet struct {
	Flow     steering.Flow
	Sequence uint32
	Data     int           // payload bytes; a packet with 0 is never treated as a repetition
	Small    bool          // small packets are sent before all others: many of them fit into the time of one large packet
	Deadline time.Duration // when the flow should be complete; ignored if the queue already knows the flow
	Datagram []byte
	To       netip.AddrPort
}

func (p *Packet) linkBytes() int { return len(p.Datagram) + headerBytes }

// Outcome is the result of offering a packet.
type Outcome uint8

// The outcomes.
const (
	Send     Outcome = iota // the caller must send the packet now
	Wait                    // the packet is queued
	Repeated                // dropped: the same packet is queued or was sent within maxAckTime
	Overflow                // dropped: the queue is full
)

// Queue is the queue of one link. It is not safe for concurrent use.
type Queue struct {
	rate         float64 // bytes per second
	burstBytes   float64 // maximum credit
	credit       float64 // bytes that may be sent now; negative after a packet that exceeded it
	refilledAt   time.Duration
	small        []*Packet
	flows        map[steering.Flow]*flowQueue
	waitingBytes int // bytes of queued packets
}

// flowQueue holds the large packets of one flow.
type flowQueue struct {
	deadline   time.Duration // deadline of the first large packet, until ExpireIdle deletes the flow
	packets    []*Packet     // queued packets, ordered by sequence number
	sent       []sentPacket  // packets sent last, oldest first
	lastUsedAt time.Duration
}

type sentPacket struct {
	sequence uint32
	sentAt   time.Duration
}

// New returns the queue of a link with the given rate.
func New(megabitPerSecond float64) *Queue {
	const bytesPerMegabit = 1e6 / 8
	rate := megabitPerSecond * bytesPerMegabit
	burstBytes := max(minBurstBytes, rate*burstTime.Seconds())
	return &Queue{rate: rate, burstBytes: burstBytes, credit: burstBytes, flows: map[steering.Flow]*flowQueue{}}
}

// Offer decides what happens to a packet. If the packet has to wait, the queue keeps a
// copy.
func (q *Queue) Offer(now time.Duration, p *Packet) Outcome {
	q.refill(now)
	if q.waitingBytes == 0 && q.credit >= 0 {
		q.credit -= float64(p.linkBytes())
		q.recordSent(now, p)
		return Send
	}
	switch {
	case q.isRepeated(now, p):
		return Repeated
	case q.waitingBytes+p.linkBytes() > maxWaitingBytes:
		return Overflow
	}
	q.waitingBytes += p.linkBytes()
	kept := *p
	kept.Datagram = slices.Clone(p.Datagram)
	if kept.Small {
		q.small = append(q.small, &kept)
		return Wait
	}
	f := q.flowOf(now, p)
	at, _ := slices.BinarySearchFunc(f.packets, p, bySequence)
	f.packets = slices.Insert(f.packets, at, &kept)
	return Wait
}

// bySequence compares packets of a flow by sequence numbers, which wrap around.
func bySequence(a, b *Packet) int { return cmp.Compare(int32(a.Sequence-b.Sequence), 0) }

func (q *Queue) flowOf(now time.Duration, p *Packet) *flowQueue {
	f := q.flows[p.Flow]
	if f == nil {
		f = &flowQueue{deadline: p.Deadline}
		q.flows[p.Flow] = f
	}
	f.lastUsedAt = now
	return f
}

// refill adds to the credit what the link could carry since the last refill, up to
// burstBytes.
func (q *Queue) refill(now time.Duration) {
	q.credit = min(q.burstBytes, q.credit+q.rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
}

// isRepeated reports whether a packet is already queued, or was sent less than
// maxAckTime ago, so that its sender cannot know whether it was lost.
func (q *Queue) isRepeated(now time.Duration, p *Packet) bool {
	f := q.flows[p.Flow]
	if f == nil || p.Data == 0 || p.Small {
		return false
	}
	if _, queued := slices.BinarySearchFunc(f.packets, p, bySequence); queued {
		return true
	}
	for _, s := range f.sent {
		if s.sequence == p.Sequence && now-s.sentAt < maxAckTime {
			return true
		}
	}
	return false
}

// recordSent records that a packet is sent if it is large and has payload.
func (q *Queue) recordSent(now time.Duration, p *Packet) {
	if p.Small || p.Data == 0 {
		return
	}
	f := q.flowOf(now, p)
	if len(f.sent) >= maxSentPerFlow {
		f.sent = f.sent[1:]
	}
	f.sent = append(f.sent, sentPacket{p.Sequence, now})
}

// Next removes and returns the next packet that may be sent now. If there is none, it
// returns the time until the next packet may be sent, or 0 if the queue is empty.
func (q *Queue) Next(now time.Duration) (*Packet, time.Duration) {
	q.refill(now)
	if q.waitingBytes == 0 {
		return nil, 0
	}
	if q.credit < 0 {
		return nil, max(time.Millisecond, time.Duration(-q.credit/q.rate*float64(time.Second)))
	}
	p := q.dequeue(now)
	q.waitingBytes -= p.linkBytes()
	q.credit -= float64(p.linkBytes())
	q.recordSent(now, p)
	return p, 0
}

// dequeue removes and returns the packet to send next: small packets come first,
// then those of the flow with the earliest deadline in the future, then those of flows
// whose deadline has passed.
func (q *Queue) dequeue(now time.Duration) *Packet {
	if len(q.small) > 0 {
		p := q.small[0]
		q.small = q.small[1:]
		return p
	}
	var best *flowQueue
	for _, f := range q.flows {
		if len(f.packets) > 0 && (best == nil || f.precedes(best, now)) {
			best = f
		}
	}
	p := best.packets[0]
	best.packets = best.packets[1:]
	return p
}

// precedes reports whether packets of f are sent before those of g.
func (f *flowQueue) precedes(g *flowQueue, now time.Duration) bool {
	if fLate, gLate := f.deadline < now, g.deadline < now; fLate != gLate {
		return gLate
	}
	return f.deadline < g.deadline
}

// ExpireIdle deletes the state of flows that have no queued packets and were not used
// for flowIdleTimeout. It is called about once a second.
func (q *Queue) ExpireIdle(now time.Duration) {
	for flow, f := range q.flows {
		if len(f.packets) == 0 && now-f.lastUsedAt > flowIdleTimeout {
			delete(q.flows, flow)
		}
	}
}

// WaitingBytes returns the size of all queued packets.
func (q *Queue) WaitingBytes() int { return q.waitingBytes }
