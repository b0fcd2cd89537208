package catalog

import "time"

// IsAddressTaken reports whether ReceiveHeartbeat takes the sender of an announcement for
// gone because another backend server started at its address later.
func (c *Catalog) IsAddressTaken(now time.Duration, h Heartbeat) bool {
	later := c.laterAt(&h)
	return later != nil && !c.isKnownToHaveStopped(now, later)
}

// freeAddress marks the backend server as gone that started at the address of an
// announcement later, if it no longer announces itself: then the clock was set back between
// the two starts. The other hosts get both records, so they need not decide that.
func (c *Catalog) freeAddress(now time.Duration, h Heartbeat) {
	if later := c.laterAt(&h); later != nil && c.isKnownToHaveStopped(now, later) {
		c.markGone(now, later)
	}
}

// laterAt returns the other backend server at the address of an announcement if it started
// later, or nil.
func (c *Catalog) laterAt(h *Heartbeat) *entry {
	other := c.byAddress[h.Address]
	if other == nil || other.ID == h.ID || other.Born <= h.Born {
		return nil
	}
	return other
}

// isKnownToHaveStopped reports whether a backend server no longer announces itself, by what
// this host has received or its connected owner has said. That the owner is lost proves
// nothing, unless a departure arrived as well.
func (c *Catalog) isKnownToHaveStopped(now time.Duration, e *entry) bool {
	ownerIsHeard := e.Owner == c.cfg.Self || c.connected[e.Owner]
	return (ownerIsHeard || e.Departing) && c.hasStopped(now, e)
}
