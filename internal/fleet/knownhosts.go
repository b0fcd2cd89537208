package fleet

import (
	"time"

	"greengagequay/internal/feed"
)

// removeAfter is the time without news of a control host after which it is
// removed from the known ones, unless it is a seed, connected or being dialed.
const removeAfter = 30 * time.Second

// knownHost is a control host that this host knows.
type knownHost struct {
	addr        string
	info        feed.HostInfo // as the host sent it, empty before
	zone        string        // as the host itself or another host sent it
	seed        bool
	current     bool // whether it reached a quorum at its last update
	conn        *feed.Connection
	loaded      bool // whether the state that it sent on the connection is in force here
	dialing     bool
	claimed     bool          // whether it is dialed and will send its state at once
	retryDelay  time.Duration // from the last failed attempt to the next one
	failures    int           // failed attempts to connect in a row
	retryAt     time.Time
	peers       []string  // feed addresses of the control hosts that it follows, as it sent them last
	lastHeardAt time.Time // when it was added, last sent an update, last connected to follow this host, or was last a peer of a connected host
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
		if x.sync == feed.Synced && !h.loaded {
			x.sync = feed.Syncing
		}
	case h.claimed:
		x.sync = feed.Syncing
	}
	return x
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

// recordUpdate records what a host sent about itself and its peers, once the update is
// in force.
func (c *controlHosts) recordUpdate(addr string, u feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if u.From.Addr != "" {
		c.wakeUp() // it is a greeting, or its state has arrived
	}
	if h := c.getOrAdd(addr); h != nil {
		h.lastHeardAt, h.current = now, u.Current
		if !h.loaded && !u.IsGreeting() {
			h.loaded = true
			c.loads++
			c.wakeUp()
		}
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

// renewPeers records that the peers of a connected host are alive.
func (c *controlHosts) renewPeers(h *knownHost, now time.Time) {
	for _, addr := range h.peers {
		if peer := c.known[addr]; peer != nil {
			peer.lastHeardAt = now
		}
	}
}
