package steering

import (
	"time"

	"greengagequay/internal/catalog"
)

// minAnswerTime is the time for which a backend server is expected to answer an opening
// packet. A caller sends the first copy after it.
const minAnswerTime = 200 * time.Millisecond

// MaxFresh is the time from the arrival of an opening packet for which no flow of another
// copy can be open. It leaves a part of minAnswerTime for the ways from and to the caller.
const MaxFresh = minAnswerTime * 3 / 4

// DecideHeld is Decide for a packet that has waited at this host for the given time,
// which does not count as time that the backend server took.
func (s *Steerer) DecideHeld(now, waited time.Duration, p Packet) Decision {
	p.Delayed = p.Delayed || waited >= MaxFresh
	d := s.Decide(now, p)
	if p.Opening && d.Verdict == Forward {
		key := p.Flow().key()
		o := s.openings[key]
		o.held = true
		s.openings[key] = o
	}
	return d
}

// serverOfHeld returns the backend server of an opening packet that waited at this host
// and was forwarded less than minAnswerTime ago. The next copy goes to the same server,
// which has had no time to answer. It returns nil if there is no such packet, or if the
// server takes no new flows.
func (s *Steerer) serverOfHeld(now time.Duration, o opening) *Server {
	if !o.held || now-o.latestAt >= minAnswerTime {
		return nil
	}
	server := s.current(o.server)
	if server == nil || server.Status >= catalog.Draining {
		return nil
	}
	return server
}
