package pacing

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/steering"
)

func flow(n int) steering.Flow {
	return steering.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, byte(n)}), 40000)}
}

const ms = time.Millisecond

func large(n int, sequence uint32, deadline time.Duration) *Packet {
	return &Packet{Flow: flow(n), Sequence: sequence, Data: 1200, Deadline: deadline, Datagram: make([]byte, 1240)}
}

func small(n int) *Packet {
	return &Packet{Flow: flow(n), Data: 100, Small: true, Datagram: make([]byte, 140)}
}

// drainQueue takes all packets from the queue and returns them in order, with the times
// at which they were sent.
func drainQueue(q *Queue, now time.Duration) (packets []*Packet, times []time.Duration) {
	for q.WaitingBytes() > 0 {
		p, wait := q.Next(now)
		if p == nil {
			now += wait
			continue
		}
		packets, times = append(packets, p), append(times, now)
	}
	return packets, times
}

func TestSendsAtTheRateOfTheLink(t *testing.T) {
	c := qt.New(t)
	q := New(1.4)
	sent := 0
	for i := range 16 {
		if q.Offer(0, large(1, uint32(1200*i), 0)) == Send {
			sent++
		}
	}
	c.Assert(sent, qt.Equals, 2, qt.Commentf("packets that the link takes at once"))
	packets, times := drainQueue(q, 0)
	c.Assert(packets, qt.HasLen, 14)
	last := times[len(times)-1]
	wire := 16 * (1240 + headerBytes) * time.Second / (1.4e6 / 8)
	c.Assert(last <= wire && last >= wire-25*ms, qt.IsTrue, qt.Commentf("%v for %v", last, wire))
}

func TestOrder(t *testing.T) {
	c := qt.New(t)
	q := New(1.4)
	q.Offer(0, large(9, 0, 0))
	q.Offer(0, large(9, 1200, 0)) // uses up the credit: later packets wait
	q.Offer(0, large(1, 1200, 900*ms))
	q.Offer(0, large(1, 0, 900*ms))
	q.Offer(0, large(2, 0, 300*ms))
	q.Offer(0, large(3, 0, -10*ms)) // its deadline has passed
	q.Offer(0, small(4))
	packets, _ := drainQueue(q, 0)
	var order []int
	for _, p := range packets {
		order = append(order, int(p.Flow.Caller.Addr().As4()[3]))
	}
	c.Assert(order, qt.DeepEquals, []int{4, 2, 1, 1, 3})
	c.Assert(packets[2].Sequence, qt.Equals, uint32(0), qt.Commentf("packets of a flow are sent by sequence number"))
}

func TestSequenceNumbersWrap(t *testing.T) {
	q := New(1.4)
	q.Offer(0, large(9, 0, 0))
	q.Offer(0, large(9, 1200, 0))
	q.Offer(0, large(1, 700, 0))
	q.Offer(0, large(1, ^uint32(0)-499, 0))
	packets, _ := drainQueue(q, 0)
	qt.Assert(t, packets[1].Sequence, qt.Equals, uint32(700))
}

func TestRepetitions(t *testing.T) {
	c := qt.New(t)
	q := New(1.4)
	q.Offer(0, large(1, 0, 0))
	q.Offer(0, large(1, 1200, 0))
	c.Assert(q.Offer(0, large(1, 2400, 0)), qt.Equals, Wait)
	c.Assert(q.Offer(5*ms, large(1, 2400, 0)), qt.Equals, Repeated, qt.Commentf("it is queued already"))
	c.Assert(q.Offer(5*ms, large(1, 1200, 0)), qt.Equals, Repeated, qt.Commentf("it cannot have been acknowledged yet"))
	c.Assert(q.Offer(5*ms, large(2, 2400, 0)), qt.Equals, Wait, qt.Commentf("the same sequence number in another flow"))
	c.Assert(q.Offer(5*ms, small(1)), qt.Equals, Wait)
	c.Assert(q.Offer(5*ms, small(1)), qt.Equals, Wait, qt.Commentf("small packets are not checked for repetition"))
	c.Assert(q.Offer(20*ms, large(1, 1200, 0)), qt.Equals, Wait, qt.Commentf("it may have been lost"))
}

func TestOverflow(t *testing.T) {
	q := New(1.4)
	outcome := Send
	for i := 0; outcome != Overflow; i++ {
		outcome = q.Offer(0, large(1, uint32(1200*i), 0))
		qt.Assert(t, q.WaitingBytes() <= maxWaitingBytes, qt.IsTrue)
	}
}

func TestExpireIdle(t *testing.T) {
	q := New(1.4)
	q.Offer(0, large(1, 0, 0))
	q.ExpireIdle(flowIdleTimeout)
	qt.Assert(t, q.flows, qt.HasLen, 1)
	q.ExpireIdle(flowIdleTimeout + 1)
	qt.Assert(t, q.flows, qt.HasLen, 0)
}

// TestQueueCopiesWaitingPacket changes the buffer of a queued packet, since callers reuse
// their buffers.
func TestQueueCopiesWaitingPacket(t *testing.T) {
	q := New(1.4)
	q.Offer(0, large(9, 0, 0))
	q.Offer(0, large(9, 1200, 0))
	p := large(1, 0, 0)
	p.Datagram[0] = 1
	q.Offer(0, p)
	p.Datagram[0] = 2
	packets, _ := drainQueue(q, 0)
	qt.Assert(t, packets[0].Datagram[0], qt.Equals, byte(1))
}
