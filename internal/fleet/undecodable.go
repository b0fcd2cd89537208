package fleet

import (
	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
)

// recordUndecodable counts and logs a message of the host at addr that could not be
// decoded.
func recordUndecodable(m *metrics.Registry, log *eventlog.Log, addr string, err error) {
	m.Counter("feed.undecodable").Inc(1)
	log.Event("undecodable", "could not decode a message of another host; the connection to it ends", eventlog.Fields{"address": addr, "error": err.Error()})
}
