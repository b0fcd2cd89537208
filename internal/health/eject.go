package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagequay/internal/model"
)

// roundingMargin compensates for the rounding error of a floating point product.
const roundingMargin = 1e-9

// countVotes decides whether a backend server is bad: enough live hosts must have
// voted bad, and among the votes of the data path the good ones must not outnumber
// the bad ones. Good votes of probes do not count.
func (c *Core) countVotes(now time.Time, b model.Backend, live map[string]string) {
	s := c.states[b.ID]
	if s == nil {
		s = &ejectionState{}
		c.states[b.ID] = s
	}
	s.service = b.Service
	var dataBad, dataGood, probeBad int
	for host, v := range c.votes[b.ID] {
		switch {
		case live[host] == "":
		case v.Data && v.Bad:
			dataBad++
		case v.Data:
			dataGood++
		case v.Bad:
			probeBad++
		}
	}
	zoneHosts := 0
	for _, zone := range live {
		if zone == b.Zone {
			zoneHosts++
		}
	}
	needed := max(1, min(badVotesNeeded, zoneHosts))
	bad := dataBad+probeBad >= needed && dataBad >= dataGood
	if bad && !s.bad {
		s.badSince = now
	}
	s.bad = bad
}

// updateEjections ejects bad backend servers, up to the limit of each service, and ends
// the ejection of recovered ones. It returns these changes as events. The limit is
// filled first with backend servers that are already ejected, then with those that have
// been bad for longest.
func (c *Core) updateEjections(now time.Time) []Event {
	byService := map[string][]string{}
	for id, s := range c.states {
		byService[s.service] = append(byService[s.service], id)
	}
	var events []Event
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		events = append(events, c.updateServiceEjections(now, service, byService[service])...)
	}
	return events
}

func (c *Core) updateServiceEjections(now time.Time, service string, ids []string) []Event {
	allowed := int(c.EjectShare(service)*float64(len(ids)) + roundingMargin)
	slices.SortFunc(ids, func(a, b string) int {
		x, y := c.states[a], c.states[b]
		return cmp.Or(cmpBool(y.ejected, x.ejected), x.badSince.Compare(y.badSince), cmp.Compare(a, b))
	})
	var events []Event
	ejected, overLimit := 0, false
	for _, id := range ids {
		s := c.states[id]
		eject := s.bad || (s.ejected && now.Sub(s.changedAt) < s.minDuration())
		overLimit = overLimit || (eject && ejected >= allowed)
		eject = eject && ejected < allowed
		if eject {
			ejected++
		}
		if eject != s.ejected {
			s.setEjected(now, eject)
			events = append(events, Event{Service: service, Backend: id, Ejected: eject, Returned: !eject})
		}
	}
	if overLimit != c.failOpen[service] {
		c.failOpen[service] = overLimit
		events = append(events, Event{Service: service, FailOpen: overLimit})
	}
	return events
}

func (s *ejectionState) setEjected(now time.Time, ejected bool) {
	if ejected {
		if now.Sub(s.changedAt) > ejectionResetTime {
			s.ejections = 0
		}
		s.ejections++
	}
	s.ejected, s.changedAt = ejected, now
}

// minDuration returns the minimum duration of the current ejection. It doubles with
// each ejection, so that a backend server that alternates between good and bad is
// ejected and returned less and less often.
func (s *ejectionState) minDuration() time.Duration {
	d := baseEjectionTime
	for range s.ejections - 1 {
		d = min(maxEjectionTime, 2*d)
	}
	return d
}

func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
