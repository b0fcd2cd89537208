package catalog

import "time"

// DepartureEffect is what a departure did to the catalog.
type DepartureEffect uint8

// The effects of departures.
const (
	// DepartureIgnored: the backend server is unknown or gone, the departure is of
	// another start, or it does not say its start and the known one does not drain.
	DepartureIgnored DepartureEffect = iota
	// DepartureNoted: the departure does not say its start. It counts once the known
	// start is silent.
	DepartureNoted
	// DepartureDone: the backend server is gone.
	DepartureDone
)

// Leave handles the departure of a backend server. born is the start time of the process
// that departs, or 0 if the call does not say. A call may be delayed until a later start
// with the same id runs, and even drains. Without a start time it proves nothing about
// the known start: that one is gone only if it drains and no longer announces itself.
func (c *Catalog) Leave(now time.Duration, id string, born int64) DepartureEffect {
	e := c.entries[id]
	switch {
	case e == nil || e.Status == Gone:
		return DepartureIgnored
	case born == 0 && e.Status == Draining:
		c.noteDeparture(e)
		return DepartureNoted
	case born != e.Born:
		return DepartureIgnored
	}
	fresh := e.Record
	fresh.Status, fresh.Owner = Gone, c.cfg.Self
	fresh.Sequence++
	c.replace(now, e, fresh, "")
	return DepartureDone
}

// noteDeparture records that a departure without a start time arrived for a backend server
// that drains. The owner must know, which decides whether the backend server is silent. It
// reports whether that is news.
func (c *Catalog) noteDeparture(e *entry) bool {
	if e.Departing {
		return false
	}
	e.Departing = true
	c.recordOwnerChange(e, "")
	return true
}

// mergeDeparture notes a departure that another control host received, if this host is
// the owner of the backend server. The other one may know only earlier announcements,
// since those without a change are not sent.
func (c *Catalog) mergeDeparture(r *Record) bool {
	e := c.entries[r.ID]
	if !r.Departing || r.Status != Draining || e == nil || !e.sameStart(r) {
		return false
	}
	return e.Status == Draining && e.Owner == c.cfg.Self && c.noteDeparture(e)
}

// minDepartureSilence is longer than a feed takes to notice that a control host is lost.
const minDepartureSilence = 2 * time.Second

// endDepartures marks the backend servers as gone whose departure was noted and whose
// announcements no longer arrive here, at their owner.
func (c *Catalog) endDepartures(now time.Duration) {
	if !c.hearsAllHosts(now) {
		return
	}
	silence := max(minDepartureSilence, c.silentAfter())
	for _, e := range c.entries {
		if e.Departing && e.Status == Draining && e.Owner == c.cfg.Self && c.silentFor(now, e) > silence {
			c.releaseAddress(e)
			e.Status = Gone // updatedAt stays, the record is removed as long after its last announcement as others
			c.recordChange(e, "")
		}
	}
}

// hearsAllHosts reports whether this host is connected to each control host that it was
// connected to, but for those lost for so long that they have been replaced. A backend
// server may announce itself to one that is only cut off from this host.
func (c *Catalog) hearsAllHosts(now time.Duration) bool {
	for _, at := range c.disconnectedAt {
		if now-at <= removeAfter {
			return false
		}
	}
	return true
}

// ForgetDepartures removes the notes of departures from records that were stored: the
// backend servers may have announced themselves elsewhere since.
func ForgetDepartures(records []Record) {
	for i := range records {
		if records[i].Status == Draining {
			records[i].Departing = false
		}
	}
}
