// Package evacuation holds the operator's orders that take the backend servers of an
// availability zone out of service and give them back. The orders take effect in the
// sequence of the replicated log. The package uses no I/O and no clock.
package evacuation

import (
	"cmp"
	"slices"
	"time"
	"unicode/utf8"

	"greengagequay/internal/fault"
)

// Order starts or ends the evacuation of a zone.
type Order struct {
	Zone     string
	Evacuate bool      // true starts the evacuation, false ends it
	Base     uint64    // ZoneState.Latest at the proposing control host when it received the order, 0 if there was none
	At       time.Time // time of day at the proposing control host
	From     string    // name of the proposing control host
}

// ZoneState is the latest order of a zone that changed its state.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  uint64 // log entry that holds the order
	At        time.Time
	From      string
	// Latest is the log entry of the latest order that was accepted, which may have
	// changed nothing.
	Latest uint64
}

// Set holds the state of each zone that had an order. It is immutable.
type Set struct {
	Revision uint64      // of the latest order that changed a zone, 0 if there was none
	Zones    []ZoneState // ordered by zone
}

// Apply returns the set after an order in the log entry with the given revision. An
// order that asks for the state that the zone is in leaves that state and the revision
// of the set as they are: operators repeat an order whose acknowledgement was lost. It
// only raises Latest, since it supersedes the orders that were received before it. An
// order that changes the state is rejected with kind Conflict if the zone had a later
// order than the proposing host knew. Otherwise a delayed order could undo a later one,
// since orders have no id.
func (s Set) Apply(revision uint64, o Order) (Set, error) {
	at, found := slices.BinarySearchFunc(s.Zones, o.Zone, func(z ZoneState, zone string) int { return cmp.Compare(z.Zone, zone) })
	state := ZoneState{Zone: o.Zone}
	if found {
		state = s.Zones[at]
	}
	next := Set{Revision: s.Revision, Zones: slices.Clone(s.Zones)}
	switch {
	case state.Evacuated == o.Evacuate:
		state.Latest = revision
	case state.Latest > o.Base:
		return s, fault.New(fault.Conflict, "read the evacuations and send the order again if it still applies",
			"zone %q had a later order at revision %d, after revision %d", o.Zone, state.Latest, o.Base)
	default:
		next.Revision = revision
		state = ZoneState{Zone: o.Zone, Evacuated: o.Evacuate, Revision: revision, At: o.At, From: o.From, Latest: revision}
	}
	if found {
		next.Zones[at] = state
	} else {
		next.Zones = slices.Insert(next.Zones, at, state)
	}
	return next, nil
}

// Find returns the state of a zone, and whether the zone had an order.
func (s Set) Find(zone string) (ZoneState, bool) {
	at, found := slices.BinarySearchFunc(s.Zones, zone, func(z ZoneState, zone string) int { return cmp.Compare(z.Zone, zone) })
	if !found {
		return ZoneState{Zone: zone}, false
	}
	return s.Zones[at], true
}

// Evacuated returns the zones that are evacuated, ordered by name.
func (s Set) Evacuated() []ZoneState {
	var list []ZoneState
	for _, z := range s.Zones {
		if z.Evacuated {
			list = append(list, z)
		}
	}
	return list
}

// maxZoneBytes limits the name of a zone, as in the announcements of backend servers.
const maxZoneBytes = 255

const zoneRemedy = "name a zone of the deployment, as in its settings"

// CheckZone returns an error for the zone of an order that cannot be meant. known
// reports whether the settings or a backend server name a zone.
func CheckZone(zone string, known func(zone string) bool) error {
	switch {
	case zone == "":
		return fault.New(fault.Invalid, zoneRemedy, "the zone of the order is empty")
	case len(zone) > maxZoneBytes:
		return fault.New(fault.Invalid, zoneRemedy, "the zone of the order has %d bytes, more than %d", len(zone), maxZoneBytes)
	case !utf8.ValidString(zone):
		return fault.New(fault.Invalid, zoneRemedy, "the zone %q of the order is not valid UTF-8", zone)
	case !known(zone):
		return fault.New(fault.Invalid, zoneRemedy, "no settings and no backend server name the zone %q of the order", zone)
	}
	return nil
}
