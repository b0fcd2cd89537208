package catalog

import "time"

// Service returns the service of a backend server, and whether the catalog has a record
// of it.
func (c *Catalog) Service(id string) (service string, known bool) {
	e := c.entries[id]
	if e == nil {
		return "", false
	}
	return e.Service, true
}

// Continues reports whether an announcement is a further one of a start that the catalog
// knows and that is not gone, at the same address and of the same service.
func (c *Catalog) Continues(h Heartbeat) bool {
	e := c.entries[h.ID]
	return e != nil && e.Status != Gone && e.Born == h.Born && e.Service == h.Service && e.Address == h.Address
}

// Since returns the records that changed after a revision. It leaves out records
// whose last change came from the control host exclude, if that is not empty.
func (c *Catalog) Since(revision uint64, exclude string) []Record {
	var records []Record
	for _, e := range c.entries {
		if e.revision > revision && (exclude == "" || e.from != exclude) {
			records = append(records, c.outgoing(e))
		}
	}
	return records
}

// SteeringSince returns the records with a change after a revision that entry hosts
// must know.
func (c *Catalog) SteeringSince(revision uint64) []Record {
	var records []Record
	for _, e := range c.entries {
		if e.steering > revision {
			records = append(records, c.outgoingForSteering(e))
		}
	}
	return records
}

// HasZone reports whether a known backend server is in the zone.
func (c *Catalog) HasZone(zone string) bool {
	for _, e := range c.entries {
		if e.Zone == zone && e.Status != Gone {
			return true
		}
	}
	return false
}

// IsCold reports whether a backend server is cold, by its own report or since the
// evacuation of its zone ended.
func (c *Catalog) IsCold(now time.Duration, id string) bool {
	e := c.entries[id]
	return e != nil && now < e.coldUntil()
}
