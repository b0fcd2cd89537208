package steering

import "time"

// Times of suspicion. A copy of an opening packet comes 200 ms after the first
// one, so a suspicion is as old as that when it begins.
const (
	suspectFor    = 1500 * time.Millisecond // after one unanswered opening packet
	maxSuspectFor = 4 * time.Second         // after several in a row
	// proofTime is how long an answer of any backend server shows that this host
	// itself reaches them.
	proofTime = time.Second
)

// suspicion is what speaks against a backend server: opening packets that it
// left without an answer. It answers the load of the seconds after a crash,
// before missed heartbeats tell of it.
type suspicion struct {
	born  int64
	count int // unanswered opening packets in a row
	until time.Duration
}

// suspects holds the suspicions of one host, by id.
type suspects struct {
	byID       map[string]*suspicion
	answeredAt time.Duration // when any backend server last answered
	answered   bool
}

func newSuspects() suspects { return suspects{byID: map[string]*suspicion{}} }

// add notes that a backend server left an opening packet without an answer.
func (s *suspects) add(now time.Duration, id string, born int64) {
	x := s.byID[id]
	if x == nil || x.born != born {
		x = &suspicion{born: born}
		s.byID[id] = x
	}
	x.count++
	x.until = max(x.until, now+min(time.Duration(x.count)*suspectFor, maxSuspectFor))
}

// clear notes that a backend server answered.
func (s *suspects) clear(now time.Duration, id string) {
	delete(s.byID, id)
	s.answeredAt, s.answered = now, true
}

// holds reports whether a backend server is suspected.
func (s *suspects) holds(now time.Duration, server *Server) bool {
	x := s.byID[server.ID]
	return x != nil && x.born == server.Born && now < x.until
}

// proven reports whether the silence is likely that of the backend server: this
// host got answers from others.
func (s *suspects) proven(now time.Duration) bool {
	return s.answered && now-s.answeredAt < proofTime
}

// forget drops suspicions that have run out for long.
func (s *suspects) forget(now time.Duration) {
	for id, x := range s.byID {
		if now > x.until+maxSuspectFor {
			delete(s.byID, id)
		}
	}
}
