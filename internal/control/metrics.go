package control

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/metrics"
	"greengagequay/internal/raft"
)

// logMetrics are the metrics of this host's member of the replicated log.
type logMetrics struct {
	term       gometrics.Gauge
	leads      gometrics.Gauge // 1 while this host leads
	committed  gometrics.Gauge // index of the last committed entry
	contactAge gometrics.Gauge // milliseconds since a quorum was last in contact
	blocked    gometrics.Gauge // 1 while this host accepts nothing because of an error
	termsSeen  gometrics.Counter
	cycle      gometrics.Gauge // microseconds that the last iteration of the loop took
}

func newLogMetrics(r *metrics.Registry) logMetrics {
	return logMetrics{
		term:       r.Gauge("control.term"),
		leads:      r.Gauge("control.leads"),
		committed:  r.Gauge("control.committed"),
		contactAge: r.Gauge("control.contact_age_ms"),
		blocked:    r.Gauge("control.blocked"),
		termsSeen:  r.Counter("control.terms_seen"),
		cycle:      r.Gauge("control.cycle_us"),
	}
}

func (m logMetrics) update(previous, next *publishedState) {
	st := next.status
	m.term.Update(int64(st.Term))
	m.leads.Update(boolValue(st.Role == raft.Leader))
	m.committed.Update(int64(st.Commit))
	m.contactAge.Update(st.ContactAge.Milliseconds())
	m.blocked.Update(boolValue(next.blocked != nil))
	if previous != nil && st.Term > previous.status.Term {
		m.termsSeen.Inc(1)
	}
}

func (m logMetrics) observeCycle(d time.Duration) { m.cycle.Update(d.Microseconds()) }

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
