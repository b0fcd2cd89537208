package catalog

import (
	"net/netip"
	"time"

	"greengagequay/internal/warmup"
)

// Status is the availability of a backend server.
type Status uint8

// The statuses, from the most to the least available.
const (
	Ready    Status = iota
	Silent          // its heartbeats do not arrive; it keeps its flows, new ones go to others if possible
	Draining        // it keeps its flows and takes no new ones
	Gone            // it has left, or another one runs at its address
)

var statusNames = [...]string{"ready", "silent", "draining", "gone"}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// Heartbeat is one announcement of a backend server.
type Heartbeat struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	WarmLeft time.Duration // remaining time for which the backend server is slow after its start
	Born     int64         // start time of the backend server in Unix milliseconds
	Sequence uint64        // increases with each announcement after one start
}

// After reports whether an announcement is of a later start than another one with the same
// id, or a later one of the same start.
func (h Heartbeat) After(other Heartbeat) bool {
	if h.Born != other.Born {
		return h.Born > other.Born
	}
	return h.Sequence > other.Sequence
}

// Record is what catalogs exchange about one backend server.
type Record struct {
	Heartbeat
	Status Status
	Owner  string // control host that received the latest announcement
	// Epoch counts the starts that replaced one with a higher start time, since the
	// clock of their host had been set back.
	Epoch uint64 `cbor:",omitempty"`
	// Departing is whether a departure arrived that does not say which start it is of, and
	// no later announcement of this start. It stays set when the record becomes gone.
	Departing bool `cbor:",omitempty"`
	// Admission names the entry hosts that may open flows while the backend server is
	// cold. It is shared and never modified; nil if there is none.
	Admission *warmup.Admission `cbor:",omitempty"`
	// ColdUntil is when the backend server is no longer cold by its own report, on the
	// clock of this host. It is not sent.
	ColdUntil time.Duration `cbor:"-"`
}

// supersedes reports whether r is from a later start or a later announcement.
func (r *Record) supersedes(old *Record) bool {
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.After(old.Heartbeat)
}

// statusAfter returns the status of a backend server after a later announcement.
// Within one start, draining is never revoked. A backend server that is gone but
// still announces itself as ready is ready: its departure was a delayed call from
// an earlier start with the same ID. One that drains comes back only if its departure
// did not say that it was of this start.
func statusAfter(old, fresh *Record) Status {
	switch {
	case old.Born != fresh.Born || old.Epoch != fresh.Epoch:
		return fresh.Status
	case old.Status == Draining:
		return max(Draining, fresh.Status)
	case old.Status == Gone && fresh.Status == Draining && !old.Departing:
		return Gone
	}
	return fresh.Status
}
