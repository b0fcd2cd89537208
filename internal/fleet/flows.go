package fleet

import (
	"math/rand/v2"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/conntrack"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
)

const (
	flowTick       = 100 * time.Millisecond // conntrack.Table.Tick expects this interval
	ticksPerReport = 5                      // flow ticks between two reports of samples
)

// flowTracker holds what an entry host knows about the flows that it forwards.
type flowTracker struct {
	table      *conntrack.Table // guarded by EntryHost.mu
	samples    *sampler         // used by trackFlows only
	answered   gometrics.Histogram
	refused    gometrics.Counter
	unanswered gometrics.Counter
	resets     gometrics.Counter
	tracked    gometrics.Gauge
}

func newFlowTracker(cfg Config, format PacketFormat, m *metrics.Registry) *flowTracker {
	return &flowTracker{
		table: conntrack.New(conntrack.Config{Seed: rand.Uint64(), FullData: format.MaxData()}), samples: newSampler(cfg.Name),
		answered: m.Timing("requests.answered_ms"), refused: m.Counter("flows.refused"), unanswered: m.Counter("requests.unanswered"),
		resets: m.Counter("flows.reset"), tracked: m.Gauge("flows.tracked"),
	}
}

// observe records a packet and the decision about it.
func (f *flowTracker) observe(now time.Duration, p steering.Packet, d steering.Decision) {
	if f != nil {
		f.table.Observe(now, p, d)
	}
}

// setTable sets the table that is in force.
func (f *flowTracker) setTable(now time.Duration, t *steering.Table) {
	if f != nil {
		f.table.SetTable(now, t)
	}
}

// trackFlows acts on what becomes of flows until the host stops.
func (h *EntryHost) trackFlows() {
	ticker := time.NewTicker(flowTick)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
		for _, f := range h.tickFlows(h.now()) {
			h.resetFlow(f)
		}
		if n%ticksPerReport == 0 {
			h.reportSamples()
		}
	}
}

// tickFlows handles the outcomes since the last call and adds them to the next report. It returns the flows to reset.
func (h *EntryHost) tickFlows(now time.Duration) []conntrack.Flow {
	h.mu.Lock()
	h.recordAlive(now)
	outcomes := h.flows.table.Tick(now)
	for i := range outcomes {
		o := &outcomes[i]
		h.flows.samples.add(h.steerer.Table(), o)
		switch o.Kind {
		case conntrack.Answered:
			h.steerer.RecordRequestAnswer(now, o.Server, o.Born)
		case conntrack.Refused:
			h.steerer.RecordRefusal(now, o.Server, o.Born)
		}
	}
	resets := h.flows.table.Resets(now)
	tracked := h.flows.table.Len()
	h.mu.Unlock()
	h.flows.tracked.Update(int64(tracked))
	for i := range outcomes {
		h.recordOutcome(&outcomes[i])
	}
	return resets
}

// recordOutcome counts and logs an outcome.
func (h *EntryHost) recordOutcome(o *conntrack.Outcome) {
	switch o.Kind {
	case conntrack.Answered:
		h.flows.answered.Update(o.Latency.Milliseconds())
	case conntrack.Refused:
		h.flows.refused.Inc(1)
		h.log.Event("refused", "a backend server refused a connection; this host avoids it for a while", outcomeFields(o))
	case conntrack.Unanswered:
		h.flows.unanswered.Inc(1)
		h.log.Event("unanswered", "a backend server left a request unanswered", outcomeFields(o))
	}
}

func outcomeFields(o *conntrack.Outcome) eventlog.Fields {
	return eventlog.Fields{"backend": o.Server, "born": o.Born, "service": o.Service, "route": o.Route}
}

// resetFlow resets a flow whose backend server is gone.
func (h *EntryHost) resetFlow(f conntrack.Flow) {
	h.flows.resets.Inc(1)
	h.log.Event("reset", "reset a flow because its backend server is gone", eventlog.Fields{
		"caller": f.Caller, "route": f.Route, "backend": f.Server,
	})
	h.sender.send(h.format.AppendResetTo(nil, f.Flow, f.Ack), h.callerAddr(f.Caller))
}

// reportSamples sends the outcomes since the last report to the followed control hosts.
func (h *EntryHost) reportSamples() {
	samples, omitted := h.flows.samples.take()
	if len(samples) > 0 {
		h.controlHosts.sendReport(feed.Report{Samples: samples, Unsampled: omitted})
	}
}
