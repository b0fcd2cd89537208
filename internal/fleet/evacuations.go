package fleet

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/evacuation"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
	"greengagequay/internal/feed"
	"greengagequay/internal/state"
)

const (
	// callerCheckDelay is how long an order waits before it is proposed. A host that was
	// paused reads the orders that arrived meanwhile. Their senders have disconnected
	// and sent them to other hosts; the HTTP server notices that within this time.
	callerCheckDelay = 10 * time.Millisecond
	// currentTimeout limits one attempt to prove that the replica is current.
	currentTimeout = time.Second
	// currentRetryDelay is the pause between two such attempts that fail at once, as on
	// a host that is not a member of the log yet.
	currentRetryDelay = 50 * time.Millisecond
	// maxLoggedZoneBytes limits the zone of an invalid order in the log.
	maxLoggedZoneBytes = 255
)

// orderLog holds the orders about zones that a control host has applied, for its
// followers. It is not safe for concurrent use.
type orderLog struct {
	// current is whether the replica was proven current since the start of the host.
	// Before that its set may lack acknowledged orders.
	current bool
	// restored is whether the disk of this host held a document at its start. If so, its
	// set is sent before it is proven current, as the document is: after a loss of all
	// power callers would wait for an election otherwise, and entry hosts get later orders
	// within milliseconds. A host without a document may have lost its disk. Its set says
	// nothing until it is proven current: while it catches up it has old orders only.
	restored bool
	set      evacuation.Set
	ended    map[string]time.Duration // when this host applied the end of each zone's evacuation, since its start
}

// update records a set of orders. It returns the zones whose evacuation has just ended,
// and false if the set is the one already held. An end that is found before the replica
// is current was applied before the start of this host, or while it was down. Its age is
// then that of the order by the time of day, at least 0.
func (l *orderLog) update(set evacuation.Set, now time.Duration, wall time.Time) (justEnded []string, changed bool) {
	if set.Revision <= l.set.Revision {
		return nil, false
	}
	ended := map[string]time.Duration{}
	for _, z := range set.Zones {
		if z.Evacuated || z.Revision == 0 {
			continue
		}
		at, known := l.ended[z.Zone]
		if old, _ := l.set.Find(z.Zone); !known || old.Revision != z.Revision {
			at = now
			if l.current {
				justEnded = append(justEnded, z.Zone)
			} else {
				at = now - max(0, wall.Sub(z.At))
			}
		}
		ended[z.Zone] = at
	}
	l.set, l.ended = set, ended
	return justEnded, true
}

// position returns the value of feed.Cursor.Evacuations.
func (l *orderLog) position() uint64 {
	if !l.current && !l.restored {
		return 0
	}
	return l.set.Revision + 1
}

// message returns the orders as entry hosts get them.
func (l *orderLog) message(now time.Duration) *feed.Evacuations {
	m := &feed.Evacuations{Set: l.set}
	for zone, at := range l.ended {
		if m.Ended == nil {
			m.Ended = map[string]time.Duration{}
		}
		m.Ended[zone] = now - at
	}
	return m
}

// startEvacuations starts what the feature needs: its metrics, and the proof that the
// orders in the replica are current.
func (h *ControlHost) startEvacuations() {
	if !h.features.Evacuations {
		return
	}
	h.acceptedOrders() // registers the counter
	h.metrics.GaugeFunc("evacuations.zones", func() int64 { return int64(len(h.evacuations().Evacuated())) })
	h.done.Go(h.awaitCurrentOrders)
}

func (h *ControlHost) acceptedOrders() gometrics.Counter {
	return h.metrics.Counter("evacuations.orders")
}

// awaitCurrentOrders waits until the replica is proven current, and then lets the
// followers have the orders.
func (h *ControlHost) awaitCurrentOrders() {
	for !h.isCurrent() {
		select {
		case <-time.After(currentRetryDelay):
		case <-h.ctx.Done():
			return
		}
	}
	h.noteEvacuations(true)
}

func (h *ControlHost) isCurrent() bool {
	ctx, cancel := context.WithTimeout(h.ctx, currentTimeout)
	defer cancel()
	return h.host.Current(ctx) == nil
}

// restoreEvacuations makes the orders that the disk held at the start of this host
// available to followers. It is called before there are any.
func (h *ControlHost) restoreEvacuations() {
	if !h.features.Evacuations {
		return
	}
	restored := h.documentVersion() != 0
	h.mu.Lock()
	h.orders.restored = restored
	h.mu.Unlock()
	h.noteEvacuations(false)
}

// noteEvacuations makes the orders in the replica available to followers. proven is
// whether the replica was proven current before the call.
func (h *ControlHost) noteEvacuations(proven bool) {
	if !h.features.Evacuations {
		return
	}
	h.mu.Lock()
	set := h.evacuations() // under mu, so that an end applied after the proof is noted after it
	justEnded, changed := h.orders.update(set, h.now(), time.Now())
	becameCurrent := proven && !h.orders.current
	h.orders.current = h.orders.current || proven
	for _, zone := range justEnded {
		h.admitZone(zone)
	}
	h.mu.Unlock()
	if changed {
		logEvacuations(h.log, set, "")
	}
	if changed || becameCurrent {
		h.changes.notify()
	}
}

// logEvacuations logs a new set. from is the host that sent it, empty for the log.
func logEvacuations(log *eventlog.Log, set evacuation.Set, from string) {
	zones := []string{}
	for _, z := range set.Evacuated() {
		zones = append(zones, z.Zone)
	}
	fields := eventlog.Fields{"revision": set.Revision, "evacuated": zones}
	if from != "" {
		fields["from"] = from
	}
	log.Event("evacuation", "new orders about zones are in force", fields)
}

// Evacuate starts or ends the evacuation of a zone, and returns once the order is
// durable on a quorum.
func (h *ControlHost) Evacuate(ctx context.Context, zone string, start bool) error {
	err := h.evacuate(ctx, zone, start)
	if err == nil {
		h.acceptedOrders().Inc(1)
	}
	h.log.Event("evacuation", "answered an operator's order about a zone", eventlog.Fields{
		"zone": zone[:min(len(zone), maxLoggedZoneBytes)], "start": start, "outcome": outcomeOf(err),
	})
	return err
}

func (h *ControlHost) evacuate(ctx context.Context, zone string, start bool) error {
	latest, _ := h.evacuations().Find(zone) // before any wait: orders that are applied later supersede this one
	if !h.features.Evacuations {
		return fault.New(fault.Invalid, "add the contract to the settings of all hosts", "this deployment's contracts do not include evacuations")
	}
	if err := h.checkZone(zone); err != nil {
		return err
	}
	if !staysConnected(ctx) {
		return fault.New(fault.Unavailable, "send the order again", "the operator disconnected before the order was proposed")
	}
	ctx, cancel := h.withTimeout(context.WithoutCancel(ctx), putTimeout)
	defer cancel()
	result, err := h.host.Propose(ctx, state.Command{Evacuation: &evacuation.Order{
		Zone: zone, Evacuate: start, Base: latest.Latest, At: time.Now().UTC(), From: h.cfg.Name,
	}})
	if err == nil && result.Err != nil {
		return result.Err
	}
	return err
}

// staysConnected waits for callerCheckDelay. It returns false if the sender of an order
// has disconnected by then, which ends ctx.
func staysConnected(ctx context.Context) bool {
	select {
	case <-time.After(callerCheckDelay):
	case <-ctx.Done():
	}
	return ctx.Err() == nil // not by the case: both may be ready after a pause of this host
}

// evacuations returns the orders in the replica.
func (h *ControlHost) evacuations() evacuation.Set {
	var set evacuation.Set
	h.replica.Read(func(s *state.State) { set = s.Evacuations })
	return set
}

// checkZone returns an error for the zone of an order that cannot be meant. If the
// settings name no zones, a host that knows no backend server cannot tell which zones
// there are, and the operator should ask another one.
func (h *ControlHost) checkZone(zone string) error {
	err := evacuation.CheckZone(zone, h.knowsZone)
	if err == nil || len(h.cfg.Zones) > 0 || evacuation.CheckZone(zone, func(string) bool { return true }) != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog.SteeringRevision() == 0 {
		return fault.New(fault.NotCurrent, "send the order to another control host, or list the zones in the settings", "this control host knows no backend server and thus no zone %q", zone)
	}
	return err
}

// knowsZone reports whether the settings, a backend server or an earlier order name a
// zone. An evacuation can thus be ended after all backend servers of the zone have gone.
func (h *ControlHost) knowsZone(zone string) bool {
	if _, ok := h.cfg.Zones[zone]; ok {
		return true
	}
	if _, ok := h.evacuations().Find(zone); ok {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog.HasZone(zone)
}

// receiveEvacuations puts the orders in an update of a control host in force, unless
// this host has newer ones. It reports whether it did so. The caller holds mu.
func (h *EntryHost) receiveEvacuations(addr string, e *feed.Evacuations) bool {
	if e == nil || !h.features.Evacuations || !h.steerer.SetEvacuations(h.now(), e.Set, e.Ended) {
		return false
	}
	logEvacuations(h.log, e.Set, addr)
	h.checkHeld()
	return true
}

// registerEvacuations registers the metrics of the feature.
func (h *EntryHost) registerEvacuations() {
	if !h.features.Evacuations {
		return
	}
	h.metrics.GaugeFunc("evacuations.zones", func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return int64(len(h.steerer.Evacuations().Evacuated()))
	})
}
