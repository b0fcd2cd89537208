package fleet

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/fault"
)

const (
	// maxEarlyAnnouncements is more than the backend servers of the largest deployment.
	maxEarlyAnnouncements = 20_000
	// earlyRetention is many heartbeat intervals.
	earlyRetention = 30 * time.Second
)

// earlyAnnouncement is the latest announcement of a backend server before the first
// document.
type earlyAnnouncement struct {
	catalog.Heartbeat
	at time.Duration // when it arrived, since the start of this host
}

// earlyAnnouncements holds the announcements that arrive at the first start of a
// deployment before this host has a document, by id. They wait here and have no effect on
// other backend servers, since only the document says which services there are: an
// announcement of any other service must not take an address, at this or another host.
type earlyAnnouncements map[string]earlyAnnouncement

// add holds an announcement in place of an earlier one with the same id.
func (e earlyAnnouncements) add(now time.Duration, b catalog.Heartbeat) error {
	known, ok := e[b.ID]
	if !ok && len(e) >= maxEarlyAnnouncements {
		return fault.New(fault.Limited, "send the first document, then try again", "%d backend servers wait for the first document", len(e))
	}
	if ok && !b.After(known.Heartbeat) {
		return nil // delayed or repeated
	}
	b.Draining = b.Draining || ok && known.Draining && known.Born == b.Born // draining is never revoked
	e[b.ID] = earlyAnnouncement{Heartbeat: b, at: now}
	return nil
}

// expire removes the backend servers that no longer announce themselves.
func (e earlyAnnouncements) expire(now time.Duration) {
	for id, a := range e {
		if now-a.at > earlyRetention {
			delete(e, id)
		}
	}
}

// leave removes a backend server whose departure says that it is of the known start. It
// reports whether there is such a one.
func (e earlyAnnouncements) leave(id string, born int64) bool {
	a, ok := e[id]
	if !ok || a.Born != born {
		return false
	}
	delete(e, id)
	return true
}
