// Package pacing orders what an entry host sends when its link is slower than
// the packets arrive. A link that is full loses packets, and each loss costs its
// sender a timeout; so no more is handed to the link than it carries, and the
// rest waits here. The load it answers: uploads that come in bursts of a window,
// beside many short requests, on links of some Mbit/s. It is pure.
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
	// burstTime is how much may be handed to the link at once, as the time that
	// the link takes for it. Two packets are always let through.
	burstTime   = 10 * time.Millisecond
	burstLeast  = 2500    // bytes
	maxBytes    = 1 << 20 // that wait; a sender repeats what is dropped
	headerBytes = 46      // of the layers below, for each packet
	// answerTime is how long an acknowledgement may take. A packet that is
	// repeated within it of its sending was not lost.
	answerTime = 15 * time.Millisecond
	sentMemory = 64 // packets of one flow that were sent last
	flowMemory = 2 * time.Second
)

// Packet is what waits to be sent.
type Packet struct {
	Flow     steering.Flow
	Sequence uint32
	Data     int           // bytes that the flow carries in it; 0 is never taken for a repetition
	Small    bool          // it goes before all that are not: many fit in the time of one large packet
	Deadline time.Duration // by which the flow should be through
	Datagram []byte
	To       netip.AddrPort
}

func (p *Packet) bytes() int { return len(p.Datagram) + headerBytes }

// Outcome tells what became of an offered packet.
type Outcome uint8

// The outcomes.
const (
	Send     Outcome = iota // at once
	Wait                    // it is queued
	Repeated                // it waits or was just sent already
	Overflow                // the queue is full
)

// Queue is the queue of one link. It is not safe for concurrent use.
type Queue struct {
	rate    float64 // bytes a second
	burst   float64
	credit  float64 // bytes that may be sent now
	at      time.Duration
	small   []*Packet
	flows   map[steering.Flow]*flowQueue
	waiting int // bytes
}

// flowQueue holds the large packets of one flow.
type flowQueue struct {
	deadline time.Duration
	packets  []*Packet // by sequence number
	sent     []sentPacket
	usedAt   time.Duration
}

type sentPacket struct {
	sequence uint32
	at       time.Duration
}

// New returns the queue of a link with the given rate.
func New(megabitPerSecond float64) *Queue {
	const bytesPerMegabit = 1e6 / 8
	rate := megabitPerSecond * bytesPerMegabit
	burst := max(burstLeast, rate*burstTime.Seconds())
	return &Queue{rate: rate, burst: burst, credit: burst, flows: map[steering.Flow]*flowQueue{}}
}

// Offer takes a packet. The queue keeps a copy if it has to wait.
func (q *Queue) Offer(now time.Duration, p *Packet) Outcome {
	q.earn(now)
	if q.waiting == 0 && q.credit >= 0 {
		q.credit -= float64(p.bytes())
		q.note(now, p)
		return Send
	}
	switch {
	case q.repeated(now, p):
		return Repeated
	case q.waiting+p.bytes() > maxBytes:
		return Overflow
	}
	q.waiting += p.bytes()
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

// bySequence orders packets of a flow. Sequence numbers wrap around.
func bySequence(a, b *Packet) int { return cmp.Compare(int32(a.Sequence-b.Sequence), 0) }

func (q *Queue) flowOf(now time.Duration, p *Packet) *flowQueue {
	f := q.flows[p.Flow]
	if f == nil {
		f = &flowQueue{deadline: p.Deadline}
		q.flows[p.Flow] = f
	}
	f.usedAt = now
	return f
}

// earn adds what the link has carried since the last call.
func (q *Queue) earn(now time.Duration) {
	q.credit = min(q.burst, q.credit+q.rate*(now-q.at).Seconds())
	q.at = now
}

// repeated reports whether a packet waits here already, or was sent so lately
// that its sender cannot know.
func (q *Queue) repeated(now time.Duration, p *Packet) bool {
	f := q.flows[p.Flow]
	if f == nil || p.Data == 0 || p.Small {
		return false
	}
	if _, waits := slices.BinarySearchFunc(f.packets, p, bySequence); waits {
		return true
	}
	for _, s := range f.sent {
		if s.sequence == p.Sequence && now-s.at < answerTime {
			return true
		}
	}
	return false
}

// note remembers a large packet that is sent.
func (q *Queue) note(now time.Duration, p *Packet) {
	if p.Small || p.Data == 0 {
		return
	}
	f := q.flowOf(now, p)
	if len(f.sent) >= sentMemory {
		f.sent = f.sent[1:]
	}
	f.sent = append(f.sent, sentPacket{p.Sequence, now})
}

// Next returns the next packet that may be sent now. If there is none, it
// returns after which time there will be one, or 0 if nothing waits.
func (q *Queue) Next(now time.Duration) (*Packet, time.Duration) {
	q.earn(now)
	if q.waiting == 0 {
		return nil, 0
	}
	if q.credit < 0 {
		return nil, max(time.Millisecond, time.Duration(-q.credit/q.rate*float64(time.Second)))
	}
	p := q.take(now)
	q.waiting -= p.bytes()
	q.credit -= float64(p.bytes())
	q.note(now, p)
	return p, 0
}

// take removes the packet that goes first: small ones, then those of the flow
// whose deadline comes next, then those of flows that are late already.
func (q *Queue) take(now time.Duration) *Packet {
	if len(q.small) > 0 {
		p := q.small[0]
		q.small = q.small[1:]
		return p
	}
	var best *flowQueue
	for _, f := range q.flows {
		if len(f.packets) > 0 && (best == nil || f.before(best, now)) {
			best = f
		}
	}
	p := best.packets[0]
	best.packets = best.packets[1:]
	return p
}

// before reports whether f goes before g.
func (f *flowQueue) before(g *flowQueue, now time.Duration) bool {
	if late, other := f.deadline < now, g.deadline < now; late != other {
		return other
	}
	return f.deadline < g.deadline
}

// Forget drops what is known of flows that send no more. It is called about
// once a second.
func (q *Queue) Forget(now time.Duration) {
	for flow, f := range q.flows {
		if len(f.packets) == 0 && now-f.usedAt > flowMemory {
			delete(q.flows, flow)
		}
	}
}

// Waiting returns the bytes that wait.
func (q *Queue) Waiting() int { return q.waiting }
