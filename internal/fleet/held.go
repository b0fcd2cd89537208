package fleet

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/holding"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
)

// Held packets are released in batches with pauses, so that packets that arrive in the
// meantime do not wait for all of them.
const (
	releaseBatch = 16
	releasePause = time.Millisecond
	// maxReleaseQueueBytes is the size of the sender's queue above which the release of
	// held packets pauses. A link of 1.4 Mbit/s carries this in 0.1 s.
	maxReleaseQueueBytes = 16 << 10
)

// missingWindow is how long a packet whose backend server is not known counts as a sign
// that this host knows too few of them.
const missingWindow = time.Second

// heldPackets holds the packets that reached this host before it could place flows.
// EntryHost.mu guards the queue.
type heldPackets struct {
	queue  *holding.Queue
	notify chan struct{} // has an element if there may be packets to release
	// missedAt is when a packet last came whose backend server was not known.
	missedAt time.Duration

	reported holding.Counts // as counted by the metrics
	held     gometrics.Counter
	released gometrics.Counter
	expired  gometrics.Counter
	replaced gometrics.Counter
	repeated gometrics.Counter
	overflow gometrics.Counter
}

func newHeldPackets(m *metrics.Registry) *heldPackets {
	return &heldPackets{
		queue: holding.New(), notify: make(chan struct{}, 1),
		held: m.Counter("packets.held"), released: m.Counter("packets.held_released"), expired: m.Counter("packets.held_expired"),
		replaced: m.Counter("packets.held_replaced"), repeated: m.Counter("packets.held_repeated"), overflow: m.Counter("packets.held_overflow"),
	}
}

// updateCounters adds to the metrics what the queue counted since the last call.
func (x *heldPackets) updateCounters() {
	n, last := x.queue.Counts(), x.reported
	x.held.Inc(n.Held - last.Held)
	x.released.Inc(n.Released - last.Released)
	x.expired.Inc(n.Expired - last.Expired)
	x.replaced.Inc(n.Replaced - last.Replaced)
	x.repeated.Inc(n.Repeated - last.Repeated)
	x.overflow.Inc(n.Overflow - last.Overflow)
	x.reported = n
}

// placesFlows reports whether this host knows enough to place flows.
func (h *EntryHost) placesFlows() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.steerer.Ready()
}

// hold holds a packet back if this host cannot place flows yet and therefore does not
// know what to do with it. buf holds the packet after TargetBytes bytes. The caller
// holds mu.
func (h *EntryHost) hold(now time.Duration, p steering.Packet, d steering.Decision, buf []byte) bool {
	if h.held == nil {
		return false
	}
	if h.steerer.Ready() || d.Reason != steering.NoState && d.Reason != steering.UnknownToken {
		if h.held.queue.Len() > 0 {
			h.held.queue.Discard(p)
		}
		return false
	}
	h.held.queue.Offer(now, p, buf)
	return true
}

// recordMissing records that a host that can place flows does not know the backend
// server of a packet. The control host whose state it has may have lost its disk, so it
// asks another one without delay. The caller holds mu.
func (h *EntryHost) recordMissing(now time.Duration, d steering.Decision) {
	if h.held == nil || !h.steerer.Ready() || d.Reason != steering.UnknownToken && d.Reason != steering.NoServer {
		return
	}
	if !h.isMissingServers(now) {
		h.controlHosts.wakeUp()
	}
	h.held.missedAt = now
}

// isMissingServers reports whether recordMissing was called within missingWindow. The
// caller holds mu.
func (h *EntryHost) isMissingServers(now time.Duration) bool {
	return h.held != nil && h.held.missedAt > 0 && now-h.held.missedAt < missingWindow
}

// checkHeld drops held packets that have waited too long, and causes the release of the
// others if this host can place flows. The caller holds mu.
func (h *EntryHost) checkHeld() {
	if h.held == nil {
		return
	}
	h.held.queue.Expire(h.now())
	h.held.updateCounters()
	if h.held.queue.Len() == 0 || !h.steerer.Ready() {
		return
	}
	select {
	case h.held.notify <- struct{}{}:
	default:
	}
}

// releaseHeld releases the held packets each time this host becomes able to place flows,
// until the host stops.
func (h *EntryHost) releaseHeld() {
	for {
		select {
		case <-h.held.notify:
		case <-h.ctx.Done():
			return
		}
		began, released := h.now(), 0
		for n := h.releaseBatch(); n > 0; n = h.releaseBatch() {
			released += n
			select {
			case <-time.After(releasePause):
			case <-h.ctx.Done():
				return
			}
		}
		if released > 0 {
			h.log.Event("released", "handled the packets that had waited until this host could place flows", eventlog.Fields{
				"packets": released, "duration_ms": (h.now() - began).Milliseconds(),
			})
		}
	}
}

// releaseBatch handles up to releaseBatch held packets, fewer if the link cannot carry
// more now. It returns their number, at least 1 if there may be more.
func (h *EntryHost) releaseBatch() int {
	n := 0
	for ; n < releaseBatch && h.sender.waitingBytes() < maxReleaseQueueBytes; n++ {
		if !h.releaseNext() {
			return n
		}
	}
	return max(1, n)
}

// releaseNext handles the held packet that arrived first. It returns false if there is
// none.
func (h *EntryHost) releaseNext() bool {
	h.mu.Lock()
	now := h.now()
	p := h.held.queue.Next(now)
	h.held.updateCounters()
	if p == nil {
		h.mu.Unlock()
		return false
	}
	d := h.steerer.DecideHeld(now, now-p.ArrivedAt, p.Packet)
	h.flows.observe(now, p.Packet, d)
	h.recordMissing(now, d)
	in := h.decisionInputs(now)
	h.mu.Unlock()
	in.held = now - p.ArrivedAt
	h.apply(p.Datagram, p.Packet, d, in)
	return true
}
