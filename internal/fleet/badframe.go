package fleet

import (
	"greengagequay/internal/eventlog"
	"greengagequay/internal/metrics"
)

// recordBadFrame counts and logs a message from or to the host at addr that could not
// be decoded or encoded.
func recordBadFrame(m *metrics.Registry, log *eventlog.Log, addr string, err error) {
	m.Counter("feed.bad_frames").Inc(1)
	log.Event("bad_frame", "could not decode or encode a message; the connection to the other host ends", eventlog.Fields{"address": addr, "error": err.Error()})
}
