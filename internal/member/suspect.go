package member

import (
	"maps"
	"slices"
	"time"
)

// accuse records that this host's own probe of h failed.
func (c *Core) accuse(h *host) {
	r := h.rec
	if !r.live() || len(r.Accusers) >= accusers || slices.Contains(r.Accusers, c.self.rec.Name) {
		return
	}
	if len(r.Accusers) == 0 {
		c.health = min(c.health+1, 2*maxHealthFactor)
	}
	r.State = rankSuspect
	r.Accusers = append(slices.Clone(r.Accusers), c.self.rec.Name)
	c.putHost(r)
	for _, p := range c.sample(c.peers(), indirect) {
		c.send(p.rec.Gossip, &Message{Kind: News}) // with the suspicion among the news
	}
}

// patience is the time in which the suspect may refute. It is longer with too
// few accusers: one host that hears nothing must not evict all others.
func (c *Core) patience(r *HostRecord) time.Duration {
	judges := len(c.zones[r.Zone].list()) - 1
	switch {
	case len(r.Accusers) >= accusers:
		return suspicionTime
	case judges < accusers:
		return fewSuspicion
	}
	return loneSuspicion
}

// expireSuspicions declares dead the hosts that did not refute in time.
func (c *Core) expireSuspicions() {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		h := c.suspects[name]
		if c.at-h.suspected < c.stretch(c.patience(&h.rec)) {
			continue
		}
		r := h.rec
		r.State = rankDead
		c.putHost(r)
	}
}

// mergeHost takes a record from another host. It reports whether the record
// is older than what is known.
func (c *Core) mergeHost(r HostRecord) (stale bool) {
	if r.Name == c.self.rec.Name {
		c.defend(r)
		return false
	}
	h := c.hosts[r.Name]
	if h == nil {
		if r.Gossip != "" {
			c.putHost(r)
		}
		return false
	}
	if r.Version < h.rec.Version {
		return true
	}
	r = withAddresses(r, h.rec)
	switch {
	case r.Version > h.rec.Version:
		c.putHost(r)
	case r.State == rankDead && h.rec.live():
		c.heardDeath(h, r)
	case r.State > h.rec.State:
		c.putHost(r)
	case r.State == rankSuspect && h.rec.State == rankSuspect:
		c.addAccusers(h, r)
	case r.State < h.rec.State && h.rec.State >= rankDead:
		return true
	}
	return false
}

// heardDeath takes the death of a host that lives here. The host gets half
// the time of a suspicion to refute, so that no single host can evict it.
func (c *Core) heardDeath(h *host, r HostRecord) {
	own := h.rec.Zone == c.self.rec.Zone
	if own && (h.rec.State != rankSuspect || c.at-h.suspected < suspicionTime/2) {
		r.State = rankSuspect
		if h.rec.State == rankSuspect {
			c.addAccusers(h, r)
			return
		}
	}
	c.putHost(r)
}

func (c *Core) addAccusers(h *host, r HostRecord) {
	merged := slices.Clone(h.rec.Accusers)
	for _, a := range r.Accusers {
		if len(merged) < accusers && !slices.Contains(merged, a) {
			merged = append(merged, a)
		}
	}
	if len(merged) == len(h.rec.Accusers) {
		return
	}
	if slices.Contains(h.rec.Accusers, c.self.rec.Name) {
		c.health = max(0, c.health-1) // others see the same
	}
	r = h.rec
	r.Accusers = merged
	c.putHost(r)
}

// withAddresses fills in what records of suspicion and death leave out.
func withAddresses(r, known HostRecord) HostRecord {
	if r.Gossip == "" {
		r.Gossip, r.RPC, r.Relay, r.Roles = known.Gossip, known.RPC, known.Relay, known.Roles
	}
	return r
}

// defend answers a record about this host. A suspicion or death is refuted by
// a higher version. A record of a later incarnation at the same address is
// left over from a time when this host's clock was ahead, and is outbid.
func (c *Core) defend(r HostRecord) {
	mine := c.self.rec
	if r.Version < mine.Version || (r.Version == mine.Version && r.State <= mine.State) {
		return
	}
	if r.State == rankAlive && r.Gossip != mine.Gossip {
		c.event(Event{Kind: NameTaken, Host: (&host{rec: r}).model()})
		return
	}
	if r.incarnation() > mine.incarnation() {
		mine.Version = (r.incarnation() + 1) << versionShift
	} else {
		mine.Version = r.Version + 1
	}
	c.putHost(mine)
}

// confirm makes some of the hosts that hear of a suspicion probe the suspect
// at once, so that a dead host soon has its second accuser.
func (c *Core) confirm(h *host) {
	n := len(c.ownZone().list())
	if h.rec.Zone == c.self.rec.Zone && c.rand.IntN(max(1, n)) < 2*indirect {
		c.probe(h)
	}
}
