package steering

import "time"

// requestAnswers holds when each backend server last answered a request on one of its
// open flows at this host, by id. A backend server that answers requests, but no opening
// packet, has as many connections as it accepts. It has not failed.
type requestAnswers map[string]requestAnswer

type requestAnswer struct {
	born int64
	at   time.Duration
}

// isRecent reports whether a backend server answered a request within
// reachabilityWindow.
func (r requestAnswers) isRecent(now time.Duration, server *Server) bool {
	x, known := r[server.ID]
	return known && x.born == server.Born && now-x.at < reachabilityWindow
}

// expire deletes answers that are no longer recent.
func (r requestAnswers) expire(now time.Duration) {
	for id, x := range r {
		if now-x.at > reachabilityWindow {
			delete(r, id)
		}
	}
}

// RecordRequestAnswer records that a backend server answered a request on an open flow.
// Unlike the answer to an opening packet it ends no suspicion. Late answers of an earlier
// start are ignored.
func (s *Steerer) RecordRequestAnswer(now time.Duration, id string, born int64) {
	if s.requestAnswers[id].born <= born {
		s.requestAnswers[id] = requestAnswer{born: born, at: now}
	}
}

// RecordRefusal records that a backend server refused a connection. It is avoided for
// suspectDuration, however often that happens: it may take the next connection.
func (s *Steerer) RecordRefusal(now time.Duration, id string, born int64) {
	s.suspects.avoid(now, id, born, suspectDuration)
}
