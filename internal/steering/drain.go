package steering

import (
	"time"

	"greengagequay/internal/catalog"
)

// drains holds the backend servers whose change to draining this host observed,
// by id. One that was already draining when this host learned of it is not
// included, since it is unknown for how long it has been draining.
type drains map[string]drain

// drain records when a backend server began to drain.
type drain struct {
	born      int64
	startedAt time.Duration
}

// update records the changes between two consecutive tables.
func (d drains) update(now time.Duration, previous, current *Table) {
	for token, server := range current.tokens {
		before := previous.tokens[token]
		switch {
		case server.Status != catalog.Draining:
			delete(d, server.ID)
		case before != nil && before.Born == server.Born && before.Status < catalog.Draining:
			d[server.ID] = drain{born: server.Born, startedAt: now}
		}
	}
}

// startedWithin reports whether this host observed a backend server begin to
// drain less than limit ago.
func (d drains) startedWithin(now time.Duration, server *Server, limit time.Duration) bool {
	x, known := d[server.ID]
	return known && x.born == server.Born && now-x.startedAt < limit
}

// expire deletes the backend servers that began to drain longer than limit ago.
func (d drains) expire(now, limit time.Duration) {
	for id, x := range d {
		if now-x.startedAt > limit {
			delete(d, id)
		}
	}
}
