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

// Pauses between the states that a host with FastStart loads.
const (
	warmSyncPause = 2 * time.Second // longer than control hosts usually need to find a quorum after a start
	// When all entry hosts start, the links of the control hosts are full, and transfers
	// make no progress for a while. Each further state that is asked for then delays the
	// others.
	coldStallPause    = 300 * time.Millisecond
	maxStallDoublings = 3
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

	// syncPause is the least time from one state that this host loads to the next while it
	// can place flows and no control host reaches a quorum, 0 if there is none.
	syncPause time.Duration

	// stallPause is the time after which this host asks another control host for its state
	// if one transfer has stalled. It doubles with each further one that has stalled. 0 for
	// no pause.
	stallPause time.Duration

	mu    sync.Mutex
	known map[string]*knownHost // by feed address
	cold  bool                  // whether this host does not know enough to place flows yet
	loads uint64                // number of states that were in force here
	// coldAfter is the value of loads before cold was determined. The states since then
	// may have made this host warm.
	coldAfter uint64
	// incomplete is whether packets reached this host whose backend servers it does not
	// know, so that another control host may know more.
	incomplete bool
	syncAt     time.Time // when it last asked for a state, or a transfer last made progress
}

// followFunc opens a connection, as feed.Follow does.
type followFunc func(context.Context, feed.Target, feed.HostInfo, feed.Sink) (*feed.Connection, error)

func newControlHosts(ctx context.Context, self feed.HostInfo, via map[string]string, sink feed.Sink) *controlHosts {
	return &controlHosts{
		ctx: ctx, self: self, via: via, sink: sink, follow: feed.Follow, wake: make(chan struct{}, 1), known: map[string]*knownHost{},
	}
}

// updateWarm records whether this host knows enough to place flows, as placesFlows
// reports, and returns it.
func (c *controlHosts) updateWarm(placesFlows func() bool) bool {
	c.mu.Lock()
	loads := c.loads
	c.mu.Unlock()
	warm := placesFlows()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold, c.coldAfter = !warm, loads
	return warm
}

// setIncomplete sets whether this host lacks backend servers that others may know.
func (c *controlHosts) setIncomplete(incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete = incomplete
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
	if slices.ContainsFunc(c.candidates(), candidate.sending) {
		c.syncAt = now
	}
	if addr := nextSync(c.self.Zone, c.self.Name, c.candidates()); addr != "" && c.mayLoad(now, c.known[addr].current) {
		c.syncAt = now
		c.known[addr].conn.Sync()
	}
}

// mayLoad reports whether this host may ask another control host for its state, and
// whether that one reaches a quorum is given by current. After a loss of power no control
// host has a quorum, so this host follows all of them. Once it can place flows, their
// states would only take the link from callers' packets: each takes 0.3 s of a link of
// 1.4 Mbit/s with 3,000 backend servers. The caller holds mu.
func (c *controlHosts) mayLoad(now time.Time, current bool) bool {
	if stalled := c.stalled(); stalled > 0 && now.Sub(c.syncAt) < c.stallPause<<min(stalled-1, maxStallDoublings) {
		return false
	}
	return c.cold && c.coldAfter == c.loads || c.incomplete || current || now.Sub(c.syncAt) >= c.syncPause || !slices.ContainsFunc(c.candidates(), candidate.synced)
}

// stalled returns the number of control hosts whose transfer of the state has stalled. The
// caller holds mu.
func (c *controlHosts) stalled() int {
	n := 0
	for _, x := range c.candidates() {
		if x.sync == feed.Stalled {
			n++
		}
	}
	return n
}

// claimSync reports whether a host that was just reached should send its state at
// once, since no other one is sending.
func (c *controlHosts) claimSync(h *knownHost) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if slices.ContainsFunc(c.candidates(), candidate.sending) || !c.mayLoad(now, false) {
		return false
	}
	h.claimed, c.syncAt = true, now
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
	h.conn, h.current, h.loaded = nil, false, false
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

// sendReport sends a report to all connected hosts. One of them counts the demand that
// the samples show, since control hosts exchange and sum up demand.
func (c *controlHosts) sendReport(r feed.Report) {
	c.mu.Lock()
	var connections []*feed.Connection
	counting := demandCounter(c.self.Zone, c.self.Name, c.candidates())
	var countingConnection *feed.Connection
	for _, h := range c.known {
		if h.conn == nil {
			continue
		}
		connections = append(connections, h.conn)
		if h.addr == counting {
			countingConnection = h.conn
		}
	}
	c.mu.Unlock()
	for _, conn := range connections {
		r.DemandElsewhere = len(r.Samples) > 0 && conn != countingConnection
		go conn.Report(r)
	}
}
