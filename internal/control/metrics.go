package control

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/metrics"
	"greengagequay/internal/raft"
)

// logMetrics tell what this host's part of the replicated log does.
type logMetrics struct {
	term      gometrics.Gauge
	leads     gometrics.Gauge // 1 while this host leads
	committed gometrics.Gauge // index of the last committed entry
	age       gometrics.Gauge // milliseconds since a quorum was in contact
	blocked   gometrics.Gauge // 1 while the disk refuses
	elections gometrics.Counter
	cycle     gometrics.Gauge // microseconds of the last round of persisting, sending and applying
}

func newLogMetrics(r *metrics.Registry) logMetrics {
	return logMetrics{
		term:      r.Gauge("control.term"),
		leads:     r.Gauge("control.leads"),
		committed: r.Gauge("control.committed"),
		age:       r.Gauge("control.contact_age_ms"),
		blocked:   r.Gauge("control.blocked"),
		elections: r.Counter("control.terms_seen"),
		cycle:     r.Gauge("control.cycle_us"),
	}
}

func (m logMetrics) update(was, next *published) {
	st := next.status
	m.term.Update(int64(st.Term))
	m.leads.Update(gaugeOf(st.Role == raft.Leader))
	m.committed.Update(int64(st.Commit))
	m.age.Update(st.ContactAge.Milliseconds())
	m.blocked.Update(gaugeOf(next.blocked != nil))
	if was != nil && st.Term > was.status.Term {
		m.elections.Inc(1)
	}
}

func (m logMetrics) processed(d time.Duration) { m.cycle.Update(d.Microseconds()) }

func gaugeOf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
