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
	// removeAfter is the time without news of a control host after which it is
	// removed from the known ones, unless it is a seed, connected or being dialed.
	removeAfter = 30 * time.Second
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

// knownHost is a control host that this host knows.
type knownHost struct {
	addr        string
	info        feed.HostInfo // as the host sent it, empty before
	zone        string        // as the host itself or another host sent it
	seed        bool
	current     bool // whether it reached a quorum at its last update
	conn        *feed.Connection
	dialing     bool
	claimed     bool          // whether it is dialed and will send its state at once
	retryDelay  time.Duration // from the last failed attempt to the next one
	failures    int           // failed attempts to connect in a row
	retryAt     time.Time
	peers       []string  // feed addresses of the control hosts that it follows, as it sent them last
	lastHeardAt time.Time // when it was added, last sent an update, last connected to follow this host, or was last a peer of a connected host
}

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

func (c *controlHosts) setSeeds(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.known {
		h.seed = false
	}
	for _, addr := range addrs {
		if h := c.getOrAdd(addr); h != nil {
			h.seed = true
		}
	}
}

// getOrAdd returns the known host at an address, and adds it if it is new. It
// returns nil for the address of this host itself.
func (c *controlHosts) getOrAdd(addr string) *knownHost {
	if addr == c.self.Addr {
		return nil
	}
	h := c.known[addr]
	if h == nil {
		h = &knownHost{addr: addr, lastHeardAt: time.Now()}
		c.known[addr] = h
	}
	return h
}

// wakeUp causes another call of reconcile soon.
func (c *controlHosts) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// recordUpdate records what a host sent about itself and its peers.
func (c *controlHosts) recordUpdate(addr string, u feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if u.From.Addr != "" {
		c.wakeUp() // it is a greeting, or its state has arrived
	}
	if h := c.getOrAdd(addr); h != nil {
		h.lastHeardAt, h.current = now, u.Current
		if u.From.Addr != "" {
			h.info, h.zone = u.From, u.From.Zone
		}
	}
	if len(u.Peers) == 0 {
		return // they have not changed, or there are none
	}
	var peers []string
	for _, p := range u.Peers {
		c.recordHost(p, now)
		peers = append(peers, p.Addr)
	}
	if h := c.known[addr]; h != nil {
		h.peers = peers
	}
}

// recordHost records that a control host is alive and in which zone it is.
func (c *controlHosts) recordHost(p feed.HostInfo, now time.Time) {
	if h := c.getOrAdd(p.Addr); h != nil {
		h.lastHeardAt, h.zone = now, p.Zone
	}
}

// recordFollower records a control host that follows this one.
func (c *controlHosts) recordFollower(p feed.HostInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordHost(p, time.Now())
}

// reconcile connects to the selected hosts, closes the connections to all others,
// and asks a connected host for its state if that is due.
func (c *controlHosts) reconcile(choose func(known []*knownHost) map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	var list []*knownHost
	for _, h := range c.known {
		list = append(list, h)
	}
	selected := choose(list)
	now := time.Now()
	for _, h := range list {
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

// candidates returns the known hosts as input of selectHosts and nextSync.
func (c *controlHosts) candidates() []candidate {
	var list []candidate
	for _, h := range c.known {
		list = append(list, h.candidate())
	}
	return list
}

func (h *knownHost) candidate() candidate {
	x := candidate{addr: h.addr, zone: h.zone, current: h.current}
	switch {
	case h.conn != nil:
		x.connected, x.sync = h.info.Addr != "", h.conn.SyncState()
	case h.claimed:
		x.sync = feed.Syncing
	}
	return x
}

// removeExpired removes hosts of which there was no news for removeAfter. It keeps
// seeds and hosts that are connected, being dialed, or peers of a connected host:
// hosts send their peers only when these change.
func (c *controlHosts) removeExpired() {
	now := time.Now()
	for _, h := range c.known {
		if h.conn != nil {
			c.renewPeers(h, now)
		}
	}
	for addr, h := range c.known {
		if h.conn == nil && !h.dialing && !h.seed && now.Sub(h.lastHeardAt) > removeAfter {
			delete(c.known, addr)
		}
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

// renewPeers records that the peers of a connected host are alive.
func (c *controlHosts) renewPeers(h *knownHost, now time.Time) {
	for _, addr := range h.peers {
		if peer := c.known[addr]; peer != nil {
			peer.lastHeardAt = now
		}
	}
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
