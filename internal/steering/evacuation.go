package steering

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/evacuation"
)

// evacuatedZones is what a host knows about the operator's orders.
type evacuatedZones struct {
	known     bool // whether the host has a set
	set       evacuation.Set
	evacuated map[string]bool
	endedAt   map[string]time.Duration // when the evacuation of a zone ended, for those that are not evacuated again
}

// SetEvacuations puts a set of orders in force. ended holds, for each zone whose
// evacuation has ended, how long ago that was. It returns false and keeps the current
// set if that is as new or newer: a host never reverts to an older set.
func (s *Steerer) SetEvacuations(now time.Duration, set evacuation.Set, ended map[string]time.Duration) bool {
	before := s.zones
	if before.known && set.Revision <= before.set.Revision {
		return false
	}
	next := evacuatedZones{known: true, set: set, evacuated: map[string]bool{}, endedAt: map[string]time.Duration{}}
	for _, z := range set.Zones {
		if z.Evacuated {
			next.evacuated[z.Zone] = true
			continue
		}
		age, hasEnded := ended[z.Zone]
		if !hasEnded {
			continue
		}
		next.endedAt[z.Zone] = now - age
		// An end that this host knows already keeps its time: control hosts apply an
		// order at different times, and an order about another zone must not move it.
		if old, known := before.set.Find(z.Zone); known && old.Revision == z.Revision {
			if at, ok := before.endedAt[z.Zone]; ok {
				next.endedAt[z.Zone] = at
				continue
			}
		}
		s.cold.startZoneWarmup(z.Zone, next.endedAt[z.Zone])
	}
	s.zones = next
	return true
}

// Ready reports whether the host knows enough to place flows.
func (s *Steerer) Ready() bool { return s.table.Ready() && (s.zones.known || !s.cfg.Evacuations) }

// Evacuations returns the set of orders in force, empty if the host has none.
func (s *Steerer) Evacuations() evacuation.Set { return s.zones.set }

// EvacuationEndedAt returns when the evacuation of a zone ended. It returns false if
// the zone is evacuated or never was. The time may be before the start of the host.
func (s *Steerer) EvacuationEndedAt(zone string) (time.Duration, bool) {
	at, ok := s.zones.endedAt[zone]
	return at, ok
}

// contains reports whether a zone is evacuated.
func (z *evacuatedZones) contains(zone string) bool { return z.evacuated[zone] }

// refusal returns why none of the backend servers of a service gets a new flow.
func (s *Steerer) refusal(now time.Duration, service string) Reason {
	reason := NoServer
	for _, server := range s.table.services[service] {
		switch evacuated := s.zones.contains(server.Zone); {
		case !evacuated && server.Status < catalog.Draining && s.cold.excludes(now, server, s.table):
			return Cold
		case evacuated && s.rankInService(now, server, nil) < rankExcluded:
			reason = Evacuated
		}
	}
	return reason
}
