package steering

import "time"

// Judging open flows of a suspected backend server. It answers the load of the
// seconds after a crash: each caller with an open flow would wait until its
// deadline, while a reset lets it try another backend server at once.
const (
	// repeatAfter is the least age of data that comes again for want of an
	// acknowledgement. Callers repeat after 200 ms; a shorter time is a delay of
	// this host.
	repeatAfter = 150 * time.Millisecond
	// maxUnacknowledged bounds the flows that are watched for one backend server.
	maxUnacknowledged = 64
)

// sent is data that a caller sent to a suspected backend server.
type sent struct {
	sequence uint32
	at       time.Duration
}

// unresponsive notes a packet of an open flow and reports whether its backend
// server has crashed, as far as can be told here: it left an opening packet
// without an answer, then a caller repeated data to it, no caller acknowledged
// anything from it in between, and other backend servers do answer.
func (s *suspects) unresponsive(now time.Duration, server *Server, p Packet) bool {
	x := s.byID[server.ID]
	if x == nil || x.born != server.Born || now >= x.until {
		return false
	}
	if p.Data == 0 {
		x.answered(p)
		return false
	}
	if !x.crashed && x.repeated(now, p) && s.proven(now) {
		x.crashed = true
	}
	if x.crashed {
		x.until = max(x.until, now+suspectFor)
	}
	return x.crashed
}

// answered takes a packet without data for a sign of life: callers send them to
// acknowledge what they got.
func (x *suspicion) answered(p Packet) {
	if p.Reset {
		return
	}
	x.crashed = false
	clear(x.sent)
}

// repeated notes data and reports whether it was sent before.
func (x *suspicion) repeated(now time.Duration, p Packet) bool {
	before, ok := x.sent[p.Flow()]
	switch {
	case ok:
		return before.sequence == p.Sequence && now-before.at >= repeatAfter
	case len(x.sent) < maxUnacknowledged:
		x.sent[p.Flow()] = sent{p.Sequence, now}
	}
	return false
}
