package steering

import "time"

// Durations of a suspicion. A caller sends the first copy of an opening packet
// 200 ms after the original, so a suspicion starts 200 ms after the unanswered
// packet.
const (
	suspectDuration    = 1500 * time.Millisecond // after one unanswered opening packet
	maxSuspectDuration = 4 * time.Second         // after several in a row
	// reachabilityWindow is how long an answer of any backend server is taken as
	// proof that this host can reach backend servers.
	reachabilityWindow = time.Second
)

// suspicion records the opening packets that a backend server left unanswered.
// Suspicions keep new flows away from a crashed backend server in the seconds
// before its missing heartbeats are detected.
type suspicion struct {
	born       int64
	unanswered int // opening packets left unanswered since its last answer to this host, as seen here or reported by others
	until      time.Duration
}

// suspects holds the backend servers that one host suspects.
type suspects struct {
	byID       map[string]*suspicion // by id of the backend server
	answeredAt time.Duration         // when any backend server last answered
	answered   bool                  // whether any backend server has answered
}

func newSuspects() suspects { return suspects{byID: map[string]*suspicion{}} }

// add records that a backend server left an opening packet unanswered.
func (s *suspects) add(now time.Duration, id string, born int64) {
	x := s.get(now, id, born)
	if x == nil {
		return
	}
	x.unanswered++
	x.until = max(x.until, now+min(time.Duration(x.unanswered)*suspectDuration, maxSuspectDuration))
}

// avoid makes a backend server a suspect for a time.
func (s *suspects) avoid(now time.Duration, id string, born int64, duration time.Duration) {
	if x := s.get(now, id, born); x != nil {
		x.until = max(x.until, now+duration)
	}
}

// get returns the suspicion of a backend server, a new one if there is none. It returns
// nil while a later start is a suspect: late news of an earlier start must not end that.
func (s *suspects) get(now time.Duration, id string, born int64) *suspicion {
	x := s.byID[id]
	if x != nil && x.born > born && now < x.until {
		return nil
	}
	if x == nil || x.born != born {
		x = &suspicion{born: born}
		s.byID[id] = x
	}
	return x
}

// recordAnswer records that a backend server answered.
func (s *suspects) recordAnswer(now time.Duration, id string) {
	delete(s.byID, id)
	s.answeredAt, s.answered = now, true
}

// contains reports whether a backend server is a suspect.
func (s *suspects) contains(now time.Duration, server *Server) bool {
	x := s.byID[server.ID]
	return x != nil && x.born == server.Born && now < x.until
}

// hasRecentAnswer reports whether any backend server answered this host within
// reachabilityWindow. If so, an unanswered packet is likely the fault of its
// backend server and not of this host.
func (s *suspects) hasRecentAnswer(now time.Duration) bool {
	return s.answered && now-s.answeredAt < reachabilityWindow
}

// expire deletes suspicions that ended more than maxSuspectDuration ago.
func (s *suspects) expire(now time.Duration) {
	for id, x := range s.byID {
		if now > x.until+maxSuspectDuration {
			delete(s.byID, id)
		}
	}
}
