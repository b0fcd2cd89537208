// Package holding buffers packets at an entry host that cannot place flows yet. Their
// senders would repeat a dropped packet only after 200 ms or more, and the host knows
// enough to place flows after a few hundred milliseconds. The package is pure: no I/O,
// clock or goroutine.
package holding

import (
	"slices"
	"time"

	"greengagequay/internal/steering"
)

// Limits of a queue.
const (
	maxBytes    = 4 << 20
	packetBytes = 256 // memory of a held packet besides its datagram
	maxAge      = time.Second
	// A caller sends the second copy of an opening packet 600 ms after the original and
	// gives up after 1.4 s. An answer to a packet that is released later than
	// maxSecondCopyAge could arrive after that.
	secondCopy       = 2
	maxSecondCopyAge = 700 * time.Millisecond
)

// Counts holds numbers of packets since the creation of a queue. Held is the sum of
// Released, Expired, Replaced and the packets that the queue holds.
type Counts struct {
	Held     int64 // accepted by Offer
	Released int64 // returned by Next
	Expired  int64 // dropped because they waited too long
	Replaced int64 // dropped because a later packet makes them unnecessary
	Repeated int64 // not accepted because the queue holds the same or a later packet
	Overflow int64 // not accepted because the queue was full
}

// Packet is a held packet.
type Packet struct {
	steering.Packet
	ArrivedAt time.Duration
	Datagram  []byte
	expiresAt time.Duration
	dropped   bool // whether the packet is still in Queue.order, but no longer held
}

func (p *Packet) bytes() int { return packetBytes + len(p.Datagram) }

// kind tells apart the packets of a flow of which a later one replaces an earlier one.
type kind uint8

const (
	opening         kind = iota // the latest copy is held
	acknowledgement             // without data; the one with the highest acknowledgement number is held
	closing                     // FIN or reset without data
	data                        // one for each sequence number is held
)

// slot identifies a packet that another one with the same slot replaces.
type slot struct {
	flow     steering.Flow
	kind     kind
	sequence uint32
	reset    bool
}

func slotOf(p *steering.Packet) slot {
	s := slot{flow: p.Flow()}
	switch {
	case p.Opening:
		s.kind = opening
	case p.Data > 0:
		s.kind, s.sequence = data, p.Sequence
	case p.Fin || p.Reset:
		s.kind, s.sequence, s.reset = closing, p.Sequence, p.Reset
	default:
		s.kind = acknowledgement
	}
	return s
}

// isOlder reports whether p is an earlier packet than held, which has the same slot.
func isOlder(p, held *steering.Packet) bool {
	switch slotOf(p).kind {
	case opening:
		return p.Copy < held.Copy
	case acknowledgement:
		return int32(p.Ack-held.Ack) < 0 // acknowledgement numbers wrap around
	case data:
		return p.Data < held.Data
	}
	return false
}

// Queue holds packets in the order of arrival. It is not safe for concurrent use.
type Queue struct {
	order  []*Packet
	bySlot map[slot]*Packet
	bytes  int
	// nextExpiry is a time before which no packet expires.
	nextExpiry time.Duration
	counts     Counts
}

// New returns an empty queue.
func New() *Queue { return &Queue{bySlot: map[slot]*Packet{}} }

// Len returns the number of held packets.
func (q *Queue) Len() int { return len(q.bySlot) }

// Counts returns the counts of packets.
func (q *Queue) Counts() Counts { return q.counts }

// Offer holds a copy of a packet, unless the queue is full or holds a later packet of
// its slot. A packet that replaces an earlier one takes its place in the order.
func (q *Queue) Offer(now time.Duration, p steering.Packet, datagram []byte) {
	s := slotOf(&p)
	if !p.Opening {
		q.discardOpening(p.Flow())
	}
	earlier := q.bySlot[s]
	if earlier != nil && now < earlier.expiresAt && isOlder(&p, &earlier.Packet) {
		q.counts.Repeated++
		earlier.SeenFirst = earlier.SeenFirst || p.Opening && p.Copy == 0 && earlier.Copy > 0
		return
	}
	if earlier != nil && p.Opening && p.Copy > 0 {
		p.SeenFirst = earlier.SeenFirst || earlier.Copy == 0
	}
	fresh := &Packet{Packet: p, ArrivedAt: now, Datagram: slices.Clone(datagram), expiresAt: now + ageLimit(&p)}
	added := fresh.bytes()
	if earlier != nil {
		added -= earlier.bytes()
	}
	if q.bytes+added > maxBytes {
		q.Expire(now)
		if earlier = q.bySlot[s]; earlier == nil {
			added = fresh.bytes()
		}
	}
	if q.bytes+added > maxBytes {
		q.counts.Overflow++
		return
	}
	q.counts.Held++
	q.bytes += added
	if q.Len() == 0 || fresh.expiresAt < q.nextExpiry {
		q.nextExpiry = fresh.expiresAt
	}
	if earlier != nil {
		q.counts.Replaced++
		*earlier = *fresh
		return
	}
	q.bySlot[s] = fresh
	q.order = append(q.order, fresh)
}

// ageLimit returns how long a packet may be held.
func ageLimit(p *steering.Packet) time.Duration {
	if p.Opening && p.Copy >= secondCopy {
		return maxSecondCopyAge
	}
	return maxAge
}

// Discard drops the held packets that a packet replaces which does not go through the
// queue. Otherwise an earlier copy of an opening packet would be released after a later
// one, and be taken for one that a backend server left unanswered.
func (q *Queue) Discard(p steering.Packet) {
	q.discardOpening(p.Flow())
	q.discard(slotOf(&p))
}

// discardOpening drops the opening packet of a flow. If a flow is open, another host
// has handled a copy.
func (q *Queue) discardOpening(f steering.Flow) { q.discard(slot{flow: f, kind: opening}) }

func (q *Queue) discard(s slot) {
	if p := q.bySlot[s]; p != nil {
		q.counts.Replaced++
		q.drop(s, p)
	}
}

// drop removes a packet from all but order, from which Next and Expire remove it.
func (q *Queue) drop(s slot, p *Packet) {
	delete(q.bySlot, s)
	q.bytes -= p.bytes()
	p.dropped, p.Datagram = true, nil
}

// Next removes and returns the packet that arrived first, or nil if there is none. It
// drops expired packets.
func (q *Queue) Next(now time.Duration) *Packet {
	for len(q.order) > 0 {
		p := q.order[0]
		q.order[0] = nil
		q.order = q.order[1:]
		switch {
		case p.dropped:
		case now >= p.expiresAt:
			q.counts.Expired++
			q.drop(slotOf(&p.Packet), p)
		default:
			q.counts.Released++
			released := *p
			q.drop(slotOf(&p.Packet), p)
			return &released
		}
	}
	return nil
}

// Expire drops the packets that have waited too long.
func (q *Queue) Expire(now time.Duration) {
	if now < q.nextExpiry {
		return
	}
	q.nextExpiry = now + maxAge
	kept := q.order[:0]
	for _, p := range q.order {
		switch {
		case p.dropped:
		case now >= p.expiresAt:
			q.counts.Expired++
			q.drop(slotOf(&p.Packet), p)
		default:
			q.nextExpiry = min(q.nextExpiry, p.expiresAt)
			kept = append(kept, p)
		}
	}
	clear(q.order[len(kept):])
	q.order = kept
}
