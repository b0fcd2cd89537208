package route_test

import (
	"fmt"
	"net/netip"
	"time"

	"greengagequay/internal/flow"
)

// open starts n flows, distributed over the services by their number of backend
// servers.
func (s *sim) open(n, zones int) {
	for range n {
		service := 0
		if s.rand.IntN(18) >= simServices[0].backends {
			service = 1
		}
		f := &simFlow{service: service, zone: fmt.Sprint("zone-", s.rand.IntN(zones))}
		s.flows = append(s.flows, f)
		s.schedule(time.Duration(s.rand.Int64N(int64(3*time.Second))), func() { s.dial(f) })
	}
}

// churn ends about 1% of the flows per second and opens another in place of each.
func (s *sim) churn() {
	const interval = 100 * time.Millisecond
	for range max(1, len(s.flows)/1000) {
		f := s.flows[s.rand.IntN(len(s.flows))]
		if f.server == nil || f.ended {
			continue
		}
		delete(f.server.accepted, f)
		f.timerGeneration++
		s.dial(f)
	}
	s.schedule(interval, s.churn)
}

// dial opens a new flow in f, with a new source address and port.
func (s *sim) dial(f *simFlow) {
	i := uint32(s.seq)
	a := simServices[f.service].address
	f.packet = flow.Packet{
		Src: netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), SrcPort: uint16(s.rand.IntN(60000) + 1024),
		Dst: a.Addr(), DstPort: a.Port(), Proto: 6, SYN: true, Seq: s.rand.Uint32(),
	}
	f.server, f.ended, f.forgotten = nil, false, false
	f.openedAt = s.now
	s.count.opened++
	s.startSending(f, firstOpenResend)
}

// startSending sends a packet and retransmits it with exponential backoff until it
// is answered.
func (s *sim) startSending(f *simFlow, pause time.Duration) {
	f.awaitingAck, f.sentAt = true, s.now
	f.timerGeneration++
	s.send(f, f.timerGeneration, pause)
}

func (s *sim) send(f *simFlow, generation int, pause time.Duration) {
	if f.timerGeneration != generation || f.ended {
		return
	}
	if s.now > f.sentAt+s.callerTimeout {
		f.end(s, &s.count.silent)
		return
	}
	s.sendToEntryHost(f)
	s.schedule(pause, func() { s.send(f, generation, min(2*pause, maxResendDelay)) })
}

// receive handles a packet that arrives at a backend server. The server knows only
// the flows that were opened at it, and resets all others.
func (b *simBackend) receive(s *sim, f *simFlow, p *flow.Packet) {
	if b.dead || p.SrcPort != f.packet.SrcPort {
		return
	}
	if b.Service != simServices[f.service].name {
		s.count.misdelivered++
	}
	switch {
	case p.SYN:
		if !b.accepted[f] && b.drainedAt > 0 && f.openedAt > b.drainedAt+s.drainLimit() {
			s.count.openedOnDraining++
		}
		b.accepted[f] = true
	case !b.accepted[f]:
		s.schedule(s.delay(), func() { f.receiveReset(s, b) })
		return
	}
	if !f.forgotten && s.rand.Float64() >= s.loss && !s.partitioned(b.Zone, f.zone) {
		src := p.SrcPort
		s.schedule(s.delay(), func() { f.receiveAck(s, b, src, p.SYN) })
	}
}

// drainLimit returns how long after the start of a drain a backend server may still
// receive new flows. It is longer when tables arrive later than usual.
func (s *sim) drainLimit() time.Duration {
	const limit = 3 * time.Second
	if s.maxTableDelay <= usualTableDelay {
		return limit
	}
	return limit + s.maxTableDelay
}

// receiveAck handles an acknowledgement that arrives at the caller.
func (f *simFlow) receiveAck(s *sim, b *simBackend, port uint16, syn bool) {
	if f.ended || port != f.packet.SrcPort {
		return
	}
	if f.server == nil && syn {
		f.server = b
		f.packet.SYN, f.packet.ACK, f.packet.PayloadLen = false, true, 100
	}
	if f.server != b {
		s.count.splitOpenings++ // the opening packet reached two backend servers
		return
	}
	if !f.awaitingAck {
		return
	}
	f.awaitingAck = false
	f.timerGeneration++
	generation := f.timerGeneration
	f.packet.Seq++
	pause := meanSendPause/2 + time.Duration(s.rand.Int64N(int64(meanSendPause)))
	if s.now < f.openedAt+newFlowPeriod {
		pause /= 16
	}
	s.schedule(pause, func() {
		if f.timerGeneration == generation && !f.ended {
			s.startSending(f, firstResend)
		}
	})
}

// receiveReset handles a reset that arrives at the caller. It is from backend
// server b, or from an entry host if b is nil.
func (f *simFlow) receiveReset(s *sim, b *simBackend) {
	if f.ended {
		return
	}
	if f.forgotten {
		f.end(s, &s.count.stalled)
		return
	}
	if f.server != nil && f.server.dead {
		f.end(s, &s.count.reset)
		return
	}
	f.end(s, &s.count.broken)
}

// end ends a flow and increments outcome, the counter of how the flow ended. The
// caller then opens another flow.
func (f *simFlow) end(s *sim, outcome *int) {
	if f.server == nil && outcome == &s.count.silent {
		outcome = new(int) // a flow that was never accepted is not counted as silent
	}
	*outcome++
	f.ended = true
	f.timerGeneration++
	if f.server != nil {
		delete(f.server.accepted, f)
	}
	s.schedule(time.Second, func() { s.dial(f) })
}
