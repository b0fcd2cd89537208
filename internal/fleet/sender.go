package fleet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
	"greengagequay/internal/pacing"
)

// minUnpacedMbps is the link rate, in Mbit/s, from which on packets are not paced.
// Such a link carries a window of an upload in less than 2 ms, so pacing would
// only cost processor time.
const minUnpacedMbps = 100

// sender sends datagrams. On a slow link it queues them, so that the link does
// not lose them.
type sender struct {
	conn     *net.UDPConn
	log      *eventlog.Log
	now      func() time.Duration
	unsent   gometrics.Counter
	repeated gometrics.Counter
	overflow gometrics.Counter
	waiting  gometrics.Gauge

	mu       sync.Mutex
	queue    *pacing.Queue // nil if the link is fast enough to need no pacing
	timerSet bool          // whether a timer will send the queued packets
}

func newSender(conn *net.UDPConn, linkMbps float64, log *eventlog.Log, m *metrics.Registry, now func() time.Duration) *sender {
	s := &sender{
		conn: conn, log: log, now: now,
		unsent: m.Counter("packets.unsent"), repeated: m.Counter("packets.repeated"),
		overflow: m.Counter("packets.overflow"), waiting: m.Gauge("packets.waiting_bytes"),
	}
	if linkMbps > 0 && linkMbps < minUnpacedMbps {
		s.queue = pacing.New(linkMbps)
	}
	return s
}

// paced reports whether packets may have to wait in the queue.
func (s *sender) paced() bool { return s.queue != nil }

// offer sends or queues a packet. It drops the packet if the queue is full, holds
// it already or has just sent it.
func (s *sender) offer(p *pacing.Packet) {
	s.mu.Lock()
	outcome := s.queue.Offer(s.now(), p)
	if outcome == pacing.Wait && !s.timerSet {
		s.timerSet = true
		time.AfterFunc(time.Millisecond, s.sendQueued)
	}
	s.mu.Unlock()
	switch outcome {
	case pacing.Send:
		s.send(p.Datagram, p.To)
	case pacing.Repeated:
		s.repeated.Inc(1)
	case pacing.Overflow:
		s.overflow.Inc(1)
		s.log.Event("overflow", "dropped a packet because the queue of the link is full", eventlog.Fields{"caller": p.Flow.Caller, "to": p.To})
	}
}

// sendQueued sends as many queued packets as the link can carry now, and sets a
// timer for the rest.
func (s *sender) sendQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		p, wait := s.queue.Next(s.now())
		if p != nil {
			s.send(p.Datagram, p.To)
			continue
		}
		s.waiting.Update(int64(s.queue.WaitingBytes()))
		s.timerSet = wait > 0
		if s.timerSet {
			time.AfterFunc(wait, s.sendQueued)
		}
		return
	}
}

// waitingBytes returns the size of the queued packets.
func (s *sender) waitingBytes() int {
	if s.queue == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.WaitingBytes()
}

// expire deletes the queue's state of idle flows.
func (s *sender) expire() {
	if s.queue == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.ExpireIdle(s.now())
}

// send sends a datagram. It does not retry, since callers retransmit lost
// packets.
func (s *sender) send(datagram []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.unsent.Inc(1)
		s.log.Event("unsent", "could not send a packet", eventlog.Fields{"to": to, "error": err.Error()})
	}
}
