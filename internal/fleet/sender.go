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

// pacedBelow is the rate of a link, in Mbit/s, from which on it carries a window
// of an upload in less than 2 ms, and pacing would only cost processor time.
const pacedBelow = 100

// sender sends datagrams. On a slow link they wait in a queue, so that the link
// does not lose them.
type sender struct {
	conn     *net.UDPConn
	log      *eventlog.Log
	now      func() time.Duration
	unsent   gometrics.Counter
	repeated gometrics.Counter
	overflow gometrics.Counter
	waiting  gometrics.Gauge

	mu    sync.Mutex
	queue *pacing.Queue // nil on a fast link
	armed bool          // a timer will send what waits
}

func newSender(conn *net.UDPConn, linkMbps float64, log *eventlog.Log, m *metrics.Registry, now func() time.Duration) *sender {
	s := &sender{
		conn: conn, log: log, now: now,
		unsent: m.Counter("packets.unsent"), repeated: m.Counter("packets.repeated"),
		overflow: m.Counter("packets.overflow"), waiting: m.Gauge("packets.waiting_bytes"),
	}
	if linkMbps > 0 && linkMbps < pacedBelow {
		s.queue = pacing.New(linkMbps)
	}
	return s
}

// paced reports whether packets may have to wait.
func (s *sender) paced() bool { return s.queue != nil }

// offer sends a packet now or later.
func (s *sender) offer(p *pacing.Packet) {
	s.mu.Lock()
	outcome := s.queue.Offer(s.now(), p)
	if outcome == pacing.Wait && !s.armed {
		s.armed = true
		time.AfterFunc(time.Millisecond, s.drain)
	}
	s.mu.Unlock()
	switch outcome {
	case pacing.Send:
		s.send(p.Datagram, p.To)
	case pacing.Repeated:
		s.repeated.Inc(1)
	case pacing.Overflow:
		s.overflow.Inc(1)
		s.log.Event("overflow", "dropped a packet, the link's queue is full", eventlog.Fields{"caller": p.Flow.Caller, "to": p.To})
	}
}

// drain sends what the link can take and comes back for the rest.
func (s *sender) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		p, wait := s.queue.Next(s.now())
		if p != nil {
			s.send(p.Datagram, p.To)
			continue
		}
		s.waiting.Update(int64(s.queue.WaitingBytes()))
		s.armed = wait > 0
		if s.armed {
			time.AfterFunc(wait, s.drain)
		}
		return
	}
}

// forget drops what the queue no longer needs.
func (s *sender) forget() {
	if s.queue == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.ExpireIdle(s.now())
}

// send sends a datagram. A lost one is sent again by its sender.
func (s *sender) send(datagram []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		s.unsent.Inc(1)
		s.log.Event("unsent", "could not send a packet", eventlog.Fields{"to": to, "error": err.Error()})
	}
}
