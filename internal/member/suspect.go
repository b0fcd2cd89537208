package member

import (
	"maps"
	"slices"
	"time"
)

// recordFailedProbe records that this host's own probe of h failed.
func (c *Core) recordFailedProbe(h *host) {
	r := h.rec
	if !r.live() || len(r.Accusers) >= minAccusers || slices.Contains(r.Accusers, c.self.rec.Name) {
		return
	}
	if len(r.Accusers) == 0 {
		c.healthScore = min(c.healthScore+1, 2*maxTimeoutGrowth)
	}
	r.State = rankSuspect
	r.Accusers = append(slices.Clone(r.Accusers), c.self.rec.Name)
	c.putHost(r)
	for _, p := range c.sample(c.peers(), indirectProbes) {
		c.send(p.rec.Gossip, &Message{Kind: Updates}) // the suspicion is among the updates that send adds
	}
}

// suspicionTimeout returns the time in which the suspect may refute. With fewer
// than minAccusers it is longer, so that one host that receives nothing does not
// evict all others.
func (c *Core) suspicionTimeout(r *HostRecord) time.Duration {
	others := len(c.zones[r.Zone].liveSorted()) - 1
	switch {
	case len(r.Accusers) >= minAccusers:
		return suspicionTime
	case others < minAccusers:
		return smallZoneSuspicionTime
	}
	return oneAccuserSuspicionTime
}

// expireSuspicions declares dead the hosts that did not refute in time.
func (c *Core) expireSuspicions() {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		h := c.suspects[name]
		if c.runTime-h.suspectedAt < c.scaleTimeout(c.suspicionTimeout(&h.rec)) {
			continue
		}
		r := h.rec
		r.State = rankDead
		c.putHost(r)
	}
}

// mergeHost merges a record from another host. It reports whether the record is
// older than the known one, or of the same version and lacks a known death or
// departure.
func (c *Core) mergeHost(r HostRecord) (stale bool) {
	if r.Name == c.self.rec.Name {
		c.refute(r)
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
		c.mergeDeath(h, r)
	case r.State > h.rec.State:
		c.putHost(r)
	case r.State == rankSuspect && h.rec.State == rankSuspect:
		c.addAccusers(h, r)
	case r.State < h.rec.State && h.rec.State >= rankDead:
		return true
	}
	return false
}

// mergeDeath merges a record that declares dead a host that is live in this host's
// view. A host of this zone first stays suspect for at least half of suspicionTime
// to be able to refute, so that no single host can evict it.
func (c *Core) mergeDeath(h *host, r HostRecord) {
	own := h.rec.Zone == c.self.rec.Zone
	if own && (h.rec.State != rankSuspect || c.runTime-h.suspectedAt < suspicionTime/2) {
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
		if len(merged) < minAccusers && !slices.Contains(merged, a) {
			merged = append(merged, a)
		}
	}
	if len(merged) == len(h.rec.Accusers) {
		return
	}
	if slices.Contains(h.rec.Accusers, c.self.rec.Name) {
		c.healthScore = max(0, c.healthScore-1) // another host confirms the failure
	}
	r = h.rec
	r.Accusers = merged
	c.putHost(r)
}

// withAddresses fills in the addresses and roles of a record without addresses.
func withAddresses(r, known HostRecord) HostRecord {
	if r.Gossip == "" {
		r.Gossip, r.RPC, r.Relay, r.Roles = known.Gossip, known.RPC, known.Relay, known.Roles
	}
	return r
}

// refute handles a record about this host. It refutes a suspicion or death with a
// higher version. A record of a later incarnation at the same address dates from
// a time when this host's clock was ahead, and is replaced by a higher
// incarnation.
func (c *Core) refute(r HostRecord) {
	current := c.self.rec
	if r.Version < current.Version || (r.Version == current.Version && r.State <= current.State) {
		return
	}
	if r.State == rankAlive && r.Gossip != current.Gossip {
		c.addEvent(Event{Kind: NameTaken, Host: (&host{rec: r}).model()})
		return
	}
	if r.incarnation() > current.incarnation() {
		current.Version = (r.incarnation() + 1) << versionShift
	} else {
		current.Version = r.Version + 1
	}
	c.putHost(current)
}

// maybeProbeSuspect probes a new suspect at once with a probability at which
// about 2*indirectProbes hosts of the zone do so. A dead host thus soon has its
// second accuser.
func (c *Core) maybeProbeSuspect(h *host) {
	n := len(c.ownZone().liveSorted())
	if h.rec.Zone == c.self.rec.Zone && c.rand.IntN(max(1, n)) < 2*indirectProbes {
		c.probe(h)
	}
}
