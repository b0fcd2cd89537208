package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengagequay/internal/feed"
)

// Timeouts and delays of connections to control hosts.
const (
	dialTimeout    = 500 * time.Millisecond
	redialDelay    = 100 * time.Millisecond // after the first failed attempt, and after a connection ended
	maxRedialDelay = time.Second
	// A cold host, which does not know enough to place flows yet, uses shorter
	// attempts and delays. A host without power does not refuse a connection, so a
	// long attempt would still be waiting after that host has power again.
	coldDialTimeout = 60 * time.Millisecond
	coldRedialDelay = 20 * time.Millisecond
	// coldFailuresPerDoubling is the number of failed attempts after which a cold
	// host doubles the timeout, since the other host may be far away.
	coldFailuresPerDoubling = 3
)

// controlHosts holds the control hosts that this host knows, and the connections
// to those that it follows. It is safe for concurrent use.
type controlHosts struct {
	ctx    context.Context
	self   feed.HostInfo
	via    map[string]string
	sink   feed.Sink
	follow followFunc
	wake   chan struct{} // has an element if there may be something to reconcile

	mu    sync.Mutex
	known map[string]*knownHost // by feed address
	cold  bool                  // whether this host does not know enough to place flows yet
}

// followFunc opens a connection, as feed.Follow does.
type followFunc func(context.Context, feed.Target, feed.HostInfo, feed.Sink) (*feed.Connection, error)

func newControlHosts(ctx context.Context, self feed.HostInfo, via map[string]string, sink feed.Sink) *controlHosts {
	return &controlHosts{
		ctx: ctx, self: self, via: via, sink: sink, follow: feed.Follow, wake: make(chan struct{}, 1), known: map[string]*knownHost{},
	}
}

// setWarm sets whether this host knows enough to place flows.
func (c *controlHosts) setWarm(warm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold = !warm
}

// nextAttempt returns the timeout of the next attempt to connect to a host, and
// the delay after it if it fails.
func (c *controlHosts) nextAttempt(h *knownHost) (timeout, retryDelay time.Duration) {
	if !c.cold {
		return dialTimeout, min(max(2*h.retryDelay, redialDelay), maxRedialDelay)
	}
	timeout = coldDialTimeout
	for n := h.failures; n >= coldFailuresPerDoubling && timeout < dialTimeout; n -= coldFailuresPerDoubling {
		timeout *= 2
	}
	return min(timeout, dialTimeout), coldRedialDelay
}

// wakeUp causes another call of reconcile soon.
func (c *controlHosts) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// reconcile connects to the selected hosts, closes the connections to all others,
// and asks a connected host for its state if that is due.
func (c *controlHosts) reconcile(selectHosts func([]candidate) map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	selected := selectHosts(c.candidates())
	now := time.Now()
	for _, h := range c.known {
		switch {
		case !selected[h.addr] && h.conn != nil:
			h.conn.Close()
		case selected[h.addr] && h.conn == nil && !h.dialing && !now.Before(h.retryAt):
			h.dialing = true
			timeout, retryDelay := c.nextAttempt(h)
			go c.connect(h, timeout, retryDelay)
		}
	}
	if addr := nextSync(c.self.Zone, c.self.Name, c.candidates()); addr != "" {
		c.known[addr].conn.Sync()
	}
}

// claimSync reports whether a host that was just reached should send its state at
// once, since no other one is sending.
func (c *controlHosts) claimSync(h *knownHost) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(c.candidates(), candidate.sending) {
		return false
	}
	h.claimed = true
	return true
}

// connect connects to a host and waits until the connection ends.
func (c *controlHosts) connect(h *knownHost, timeout, retryDelay time.Duration) {
	dialAddr, ok := c.via[h.addr]
	if !ok {
		dialAddr = h.addr
	}
	target := feed.Target{Addr: h.addr, DialAddr: dialAddr, Timeout: timeout}
	if !c.self.Control { // links between control hosts carry several states at once
		target.Defer = func() bool { return !c.claimSync(h) }
	}
	conn, err := c.follow(c.ctx, target, c.self, c.sink)
	c.mu.Lock()
	h.dialing, h.claimed = false, false
	if err != nil {
		h.retryDelay = retryDelay
		h.failures++
		h.retryAt = time.Now().Add(h.retryDelay)
		c.mu.Unlock()
		return
	}
	h.conn, h.retryDelay, h.failures = conn, 0, 0
	c.wakeUp()
	c.mu.Unlock()
	<-conn.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	h.conn, h.current = nil, false
	h.retryAt = time.Now().Add(redialDelay)
	c.wakeUp()
}

// disconnect closes the connection to a host. It is opened again if the host is
// still selected.
func (c *controlHosts) disconnect(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.known[addr]; h != nil && h.conn != nil {
		h.conn.Close()
	}
}

// connected returns the connected hosts that have sent their HostInfo.
func (c *controlHosts) connected() []feed.HostInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []feed.HostInfo
	for _, h := range c.known {
		if h.candidate().synced() {
			list = append(list, h.info)
		}
	}
	return list
}

// sendReport sends a report to all connected hosts.
func (c *controlHosts) sendReport(r feed.Report) {
	c.mu.Lock()
	var connections []*feed.Connection
	for _, h := range c.known {
		if h.conn != nil {
			connections = append(connections, h.conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range connections {
		go conn.Report(r)
	}
}
