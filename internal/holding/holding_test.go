package holding

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"greengagequay/internal/steering"
)

const ms = time.Millisecond

func packet(port uint16) steering.Packet {
	return steering.Packet{
		Caller: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Route: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

func openingCopy(port uint16, n uint32) steering.Packet {
	p := packet(port)
	p.Opening, p.Copy = true, n
	return p
}

func drain(q *Queue, now time.Duration) (list []steering.Packet) {
	for p := q.Next(now); p != nil; p = q.Next(now) {
		list = append(list, p.Packet)
	}
	return list
}

// Guards against copies that would be taken for unanswered ones, and against a flow
// that loses its place because its caller repeated the packet.
func TestLatestCopyTakesThePlaceOfTheFirst(t *testing.T) {
	c := qt.New(t)
	q := New()
	q.Offer(0, openingCopy(1, 0), nil)
	q.Offer(1*ms, openingCopy(2, 0), nil)
	q.Offer(200*ms, openingCopy(1, 1), nil)
	q.Offer(201*ms, openingCopy(1, 0), nil) // overtaken on the way
	replaced := openingCopy(1, 1)
	replaced.SeenFirst = true
	c.Assert(slices.Equal(drain(q, 300*ms), []steering.Packet{replaced, openingCopy(2, 0)}), qt.IsTrue)

	data, part := packet(6), packet(6)
	data.Data, part.Data = 2, 1
	q.Offer(0, data, nil)
	q.Offer(1*ms, openingCopy(6, 0), nil) // overtaken on the way
	q.Offer(2*ms, part, nil)
	c.Assert(slices.Equal(drain(q, 300*ms), []steering.Packet{data}), qt.IsTrue)

	q.Offer(0, openingCopy(5, 1), nil) // the original went to another host
	q.Offer(200*ms, openingCopy(5, 2), nil)
	c.Assert(slices.Equal(drain(q, 300*ms), []steering.Packet{openingCopy(5, 2)}), qt.IsTrue)

	q.Offer(0, openingCopy(3, 0), nil)
	later := packet(3)
	later.Token = 7
	q.Offer(1*ms, later, nil) // the flow was opened by another host
	c.Assert(slices.Equal(drain(q, 300*ms), []steering.Packet{later}), qt.IsTrue)

	q.Offer(0, openingCopy(4, 0), nil)
	q.Discard(openingCopy(4, 1)) // the later copy was placed
	c.Assert(drain(q, 300*ms), qt.HasLen, 0)
	c.Assert(q.bytes, qt.Equals, 0)
}

// Guards against packets that reach a backend server after their caller gave up.
func TestAgeLimits(t *testing.T) {
	c := qt.New(t)
	q := New()
	q.Offer(0, openingCopy(1, 0), nil)
	q.Offer(0, openingCopy(2, secondCopy), nil)
	q.Expire(maxSecondCopyAge - ms)
	c.Assert(q.Len(), qt.Equals, 2)
	q.Expire(maxSecondCopyAge)
	c.Assert(q.Len(), qt.Equals, 1)
	c.Assert(q.Next(maxAge), qt.IsNil)
	c.Assert(q.Counts(), qt.Equals, Counts{Held: 2, Expired: 2})
}

// Guards against a starting host that runs out of memory.
func TestBytesAreLimited(t *testing.T) {
	c := qt.New(t)
	q := New()
	datagram := make([]byte, 1232)
	for i := range 60_000 {
		q.Offer(0, openingCopy(uint16(i), 0), datagram)
	}
	c.Assert(q.bytes <= maxBytes, qt.IsTrue)
	c.Assert(q.Counts().Overflow, qt.Equals, int64(60_000-q.Len()))
	q.Offer(maxAge, openingCopy(60_001, 0), datagram)
	c.Assert(q.Len(), qt.Equals, 1, qt.Commentf("expired packets make room"))
}

// TestAgainstModel compares the queue with a list that is searched from its start.
func TestAgainstModel(t *testing.T) {
	type entry struct {
		packet  steering.Packet
		expires time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(), time.Duration(0)
		var model []entry
		remove := func(match func(entry) bool) {
			kept := model[:0:0]
			for _, e := range model {
				if !match(e) {
					kept = append(kept, e)
				}
			}
			model = kept
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			p := packet(rapid.Uint16Range(1, 3).Draw(t, "port"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				p.Opening, p.Copy = true, rapid.Uint32Range(0, 2).Draw(t, "copy")
			case 1:
				p.Ack = rapid.Uint32Range(0, 3).Draw(t, "ack") - 2 // wraps around
			case 2:
				p.Sequence, p.Data = rapid.Uint32Range(0, 2).Draw(t, "sequence"), rapid.IntRange(1, 2).Draw(t, "data")
			case 3:
				p.Fin, p.Reset = true, rapid.Bool().Draw(t, "reset")
			}
			remove(func(e entry) bool { return now >= e.expires })
			isSame := func(e entry) bool { return slotOf(&e.packet) == slotOf(&p) }
			isSuperseded := func(e entry) bool { return e.packet.Opening && e.packet.Flow() == p.Flow() }
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				q.Discard(p)
				remove(func(e entry) bool { return isSame(e) || isSuperseded(e) })
				continue
			case 1:
				got := q.Next(now)
				if len(model) == 0 {
					if got != nil {
						t.Fatalf("got %v from an empty queue", got)
					}
					continue
				}
				if got == nil || got.Packet != model[0].packet {
					t.Fatalf("got %v, want %v", got, model[0].packet)
				}
				model = model[1:]
				continue
			case 2:
				q.Expire(now)
			}
			q.Expire(now)
			q.Offer(now, p, nil)
			if !p.Opening {
				remove(isSuperseded)
			}
			fresh := entry{p, now + ageLimit(&p)}
			for i, e := range model {
				if isSame(e) {
					seen := p.Opening && (p.Copy == 0 || e.packet.Copy == 0 || e.packet.SeenFirst)
					if !isOlder(&p, &e.packet) {
						model[i] = fresh
					}
					model[i].packet.SeenFirst = seen && model[i].packet.Copy > 0
					fresh.expires = 0
				}
			}
			if fresh.expires > 0 {
				model = append(model, fresh)
			}
		}
		n := q.Counts()
		if int64(q.Len()) != n.Held-n.Released-n.Expired-n.Replaced {
			t.Fatalf("%d packets held, counts %+v", q.Len(), n)
		}
	})
}
