package catalog

import "time"

// Timeouts of the catalog.
const (
	silentAfterIntervals = 2.5              // heartbeat intervals without a heartbeat until a backend server is silent
	removeAfter          = 90 * time.Second // time without an update until a record that is not ready is removed; longer than any flow lasts
	maxTickGap           = time.Second      // a longer gap between ticks is a pause of this host
)

// SetConnected records whether this host is connected to another control host.
func (c *Catalog) SetConnected(now time.Duration, host string, isConnected bool) {
	switch {
	case isConnected:
		c.connected[host] = true
		delete(c.disconnectedAt, host)
	case c.connected[host]:
		delete(c.connected, host)
		c.disconnectedAt[host] = now
	}
}

// Tick marks backend servers as silent whose heartbeats no longer arrive, ends noted
// departures, and removes expired records. It reports whether it made a change that others must
// know.
func (c *Catalog) Tick(now time.Duration) bool {
	pause := now - c.lastTick
	c.lastTick = now
	if pause > maxTickGap {
		c.shiftTimes(pause)
	}
	c.RemoveExpired(now)
	before := c.revision
	c.endDepartures(now)
	for _, e := range c.entries {
		if e.Status == Ready && c.silentFor(now, e) > c.silentAfter() {
			e.Status = Silent
			c.recordChange(e, "")
		}
	}
	return c.revision != before
}

// RemoveExpired removes the silent, draining and gone backend servers that have
// not been updated for longer than any flow lasts. Hosts that receive no
// heartbeats call it instead of Tick.
func (c *Catalog) RemoveExpired(now time.Duration) {
	for _, e := range c.entries {
		if e.Status >= Silent && now-e.updatedAt > removeAfter {
			c.remove(e)
		}
	}
}

// shiftTimes adds a pause of this host to all times, since it received nothing
// during the pause.
func (c *Catalog) shiftTimes(pause time.Duration) {
	for _, e := range c.entries {
		e.updatedAt += pause
	}
	for host := range c.disconnectedAt {
		c.disconnectedAt[host] += pause
	}
}

func (c *Catalog) silentAfter() time.Duration {
	return time.Duration(silentAfterIntervals * float64(c.cfg.Interval))
}

// hasStopped reports whether a backend server no longer announces itself, as far as
// this host knows.
func (c *Catalog) hasStopped(now time.Duration, e *entry) bool {
	switch e.Status {
	case Silent:
		return true
	case Gone:
		return now-e.updatedAt > c.silentAfter()
	}
	return c.silentFor(now, e) > c.silentAfter()
}

// decidesSilence reports whether the control host that sent a record decides whether the
// backend server is silent. While its owner is connected, only the owner does: others may
// have lost the owner.
func (c *Catalog) decidesSilence(from string, r *Record) bool {
	return from == r.Owner || !c.connected[r.Owner]
}

// mergedStatus returns the status after a later record from another control host.
func (c *Catalog) mergedStatus(from string, old, later *Record) Status {
	if later.Status == Silent && old.Status < Draining && later.sameStart(old) && !c.decidesSilence(from, later) {
		return old.Status
	}
	return statusAfter(old, later)
}

// correctSilence takes over from an earlier record whether a backend server is silent, if
// the control host that sent it decides that. It reports whether it did.
//
// Control hosts that restarted from hint files may know an earlier announcement than the
// entry hosts. What they hear, or do not hear, from then on may change nothing for them,
// and is then not sent. Other control hosts learn of it with the owner of the record.
func (c *Catalog) correctSilence(now time.Duration, old *entry, from string, earlier *Record) bool {
	isEntryHost := c.cfg.Self == ""
	decides := c.decidesSilence(from, earlier) && c.decidesSilence(from, &old.Record)
	if !isEntryHost || !decides || !earlier.sameStart(&old.Record) || earlier.Address != old.Address {
		return false
	}
	if old.Status >= Draining || earlier.Status >= Draining || earlier.Status == old.Status {
		return false
	}
	old.Status, old.Sequence, old.Owner, old.updatedAt = earlier.Status, earlier.Sequence, earlier.Owner, now
	c.recordChange(old, from)
	return true
}

// silentFor returns for how long no heartbeat of a backend server has arrived, as
// far as this host knows. While this host is connected to the owner, it returns 0,
// since the owner reports the silence.
func (c *Catalog) silentFor(now time.Duration, e *entry) time.Duration {
	if e.Owner == c.cfg.Self {
		return now - e.updatedAt
	}
	if c.connected[e.Owner] {
		return 0
	}
	return now - max(c.disconnectedAt[e.Owner], e.updatedAt)
}
