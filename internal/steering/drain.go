package steering

import (
	"time"

	"greengagequay/internal/catalog"
)

// drains holds the backend servers that this host saw begin to drain, by id. For
// how long one has been draining that drained before this host knew it, nobody
// can tell, so it is not in here.
type drains map[string]drain

// drain is when a backend server began to drain.
type drain struct {
	born  int64
	since time.Duration
}

// note compares two tables that follow each other.
func (d drains) note(now time.Duration, was, is *Table) {
	for token, server := range is.tokens {
		before := was.tokens[token]
		switch {
		case server.Status != catalog.Draining:
			delete(d, server.ID)
		case before != nil && before.Born == server.Born && before.Status < catalog.Draining:
			d[server.ID] = drain{born: server.Born, since: now}
		}
	}
}

// began reports whether a backend server began to drain less than limit ago.
func (d drains) began(now time.Duration, server *Server, limit time.Duration) bool {
	x, known := d[server.ID]
	return known && x.born == server.Born && now-x.since < limit
}

// forget drops those that have been draining for longer than limit.
func (d drains) forget(now, limit time.Duration) {
	for id, x := range d {
		if now-x.since > limit {
			delete(d, id)
		}
	}
}
