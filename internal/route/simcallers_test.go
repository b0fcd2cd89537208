package route_test

import (
	"fmt"
	"net/netip"
	"time"

	"greengagequay/internal/flow"
)

// open starts n flows, spread over the services by their size.
func (s *sim) open(n, zones int) {
	for range n {
		service := 0
		if s.rand.IntN(18) >= simServices[0].backends {
			service = 1
		}
		f := &simFlow{service: service, zone: fmt.Sprint("zone-", s.rand.IntN(zones))}
		s.flows = append(s.flows, f)
		s.after(time.Duration(s.rand.Int64N(int64(3*time.Second))), func() { s.dial(f) })
	}
}

// churn ends one flow in a hundred each second and opens another in its place.
func (s *sim) churn() {
	const interval = 100 * time.Millisecond
	for range max(1, len(s.flows)/1000) {
		f := s.flows[s.rand.IntN(len(s.flows))]
		if f.at == nil || f.ended {
			continue
		}
		delete(f.at.accepted, f)
		f.gen++
		s.dial(f)
	}
	s.after(interval, s.churn)
}

// dial opens a flow, or opens another one in its place.
func (s *sim) dial(f *simFlow) {
	i := uint32(s.seq)
	a := simServices[f.service].address
	f.packet = flow.Packet{
		Src: netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), SrcPort: uint16(s.rand.IntN(60000) + 1024),
		Dst: a.Addr(), DstPort: a.Port(), Proto: 6, SYN: true, Seq: s.rand.Uint32(),
	}
	f.at, f.ended, f.muted = nil, false, false
	f.dialed = s.now
	s.count.opened++
	s.say(f, openResend)
}

// say sends a packet, again with growing pauses until it is answered.
func (s *sim) say(f *simFlow, pause time.Duration) {
	f.waiting, f.saidAt = true, s.now
	f.gen++
	s.send(f, f.gen, pause)
}

func (s *sim) send(f *simFlow, gen int, pause time.Duration) {
	if f.gen != gen || f.ended {
		return
	}
	if s.now > f.saidAt+s.patience {
		f.end(s, &s.count.silent)
		return
	}
	s.fabricPacket(f)
	s.after(pause, func() { s.send(f, gen, min(2*pause, lastResend)) })
}

// take is a backend server that gets a packet. It knows only the flows that
// were opened with it, and answers all others with a reset.
func (b *simBackend) take(s *sim, f *simFlow, p *flow.Packet) {
	if b.dead || p.SrcPort != f.packet.SrcPort {
		return
	}
	if b.Service != simServices[f.service].name {
		s.count.misdelivered++
	}
	switch {
	case p.SYN:
		if !b.accepted[f] && b.drained > 0 && f.dialed > b.drained+s.drainLimit() {
			s.count.lateNew++
		}
		b.accepted[f] = true
	case !b.accepted[f]:
		s.after(s.delay(), func() { f.resetBy(s, b) })
		return
	}
	if !f.muted && s.rand.Float64() >= s.loss && !s.apart(b.Zone, f.zone) {
		src := p.SrcPort
		s.after(s.delay(), func() { f.answer(s, b, src, p.SYN) })
	}
}

// drainLimit is the time after which a backend server that drains gets no new
// flow. A host whose table is late beyond the usual cannot know earlier.
func (s *sim) drainLimit() time.Duration {
	const limit = 3 * time.Second
	if s.late <= usualLate {
		return limit
	}
	return limit + s.late
}

// answer is the caller that gets an acknowledgement.
func (f *simFlow) answer(s *sim, b *simBackend, port uint16, syn bool) {
	if f.ended || port != f.packet.SrcPort {
		return
	}
	if f.at == nil && syn {
		f.at = b
		f.packet.SYN, f.packet.ACK, f.packet.Payload = false, true, 100
	}
	if f.at != b {
		s.count.doubled++ // the opening packet went two ways
		return
	}
	if !f.waiting {
		return
	}
	f.waiting = false
	f.gen++
	gen := f.gen
	f.packet.Seq++
	pause := talkEvery/2 + time.Duration(s.rand.Int64N(int64(talkEvery)))
	if s.now < f.dialed+lively {
		pause /= 16
	}
	s.after(pause, func() {
		if f.gen == gen && !f.ended {
			s.say(f, firstResend)
		}
	})
}

// resetBy is the caller that gets a reset, of a backend server or, with nil,
// of an entry host.
func (f *simFlow) resetBy(s *sim, b *simBackend) {
	if f.ended {
		return
	}
	if f.muted {
		f.end(s, &s.count.stalled)
		return
	}
	if f.at != nil && f.at.dead {
		f.end(s, &s.count.reset)
		return
	}
	f.end(s, &s.count.broken)
}

// end ends a flow in the given way. The caller opens another.
func (f *simFlow) end(s *sim, way *int) {
	if f.at == nil && way == &s.count.silent {
		way = new(int) // the flow was never open
	}
	*way++
	f.ended = true
	f.gen++
	if f.at != nil {
		delete(f.at.accepted, f)
	}
	s.after(time.Second, func() { s.dial(f) })
}
