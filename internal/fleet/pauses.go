package fleet

import (
	"time"

	"greengagequay/internal/steering"
)

const (
	// maxAliveGap is the longest time between two signs of life, which are flowTick apart,
	// that is not a pause of the host. Packets wait for as long before they are read.
	maxAliveGap = steering.MaxFresh
	// backlogTime is how long a host may take to read the packets that arrived in a pause.
	backlogTime = 200 * time.Millisecond
)

// pauses detects that this host did not run for a while, as after a stop signal, or at
// its start before it reads packets. EntryHost.mu guards it.
type pauses struct {
	aliveAt      time.Duration // last sign of life
	backlogUntil time.Duration // until when packets may be read that arrived in a pause
}

// recordAlive records that the host runs. It reports whether that ends a pause.
func (p *pauses) recordAlive(now time.Duration) bool {
	paused := now-p.aliveAt > maxAliveGap
	if paused {
		p.backlogUntil = now + backlogTime
	}
	p.aliveAt = now
	return paused
}

// mayHaveWaited reports whether a packet that is read now may have waited for longer than
// maxAliveGap.
func (p *pauses) mayHaveWaited(now time.Duration) bool { return now < p.backlogUntil }

// recordAlive records that this host runs, and counts the pause that this ends, if any.
// The caller holds mu.
func (h *EntryHost) recordAlive(now time.Duration) {
	if h.pauses.recordAlive(now) {
		h.metrics.Counter("entry.pauses").Inc(1)
	}
}

// watchPauses records that this host runs until it stops.
func (h *EntryHost) watchPauses() {
	ticker := time.NewTicker(flowTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
		h.mu.Lock()
		h.recordAlive(h.now())
		h.mu.Unlock()
	}
}
