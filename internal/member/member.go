// Package member maintains the list of the system's hosts by gossip. Core does
// no I/O and reads no clock: messages and the time go in, messages and events
// come out. Inside an availability zone every host probes the others and
// spreads what it learns. A few hosts of each zone, its bridges, exchange
// updates with other zones.
//
// The same messages carry items, which are versioned records that other
// packages publish, and the progress of each host: the revision of the
// replicated state in force on it, and the last heartbeat that it has received
// from the quorum of control hosts. These heartbeats renew the hosts' leases.
package member

import (
	"time"

	"greengagequay/internal/model"
)

// Intervals and timeouts of the protocol.
const (
	TickInterval            = 50 * time.Millisecond // time between two calls of Tick
	probeInterval           = 200 * time.Millisecond
	directTimeout           = 150 * time.Millisecond  // afterwards other hosts are asked to probe
	probeTimeout            = 400 * time.Millisecond  // afterwards the host is suspected
	suspicionTime           = time.Second             // a suspect that does not refute for this long is dead
	smallZoneSuspicionTime  = 1500 * time.Millisecond // suspicion time with fewer than minAccusers other hosts in the zone
	oneAccuserSuspicionTime = 5 * time.Second         // suspicion time with fewer than minAccusers accusers
	syncInterval            = 2 * time.Second         // between comparisons of records inside the zone
	bridgeInterval          = time.Second             // between comparisons of records with other zones
	rejoinInterval          = time.Second             // between attempts to contact a dead host or a seed
	tombstoneTime           = 24 * time.Hour          // how long tombstones of hosts and items are kept
	maxStepGap              = 500 * time.Millisecond  // a longer gap between steps is a pause of this host
	maxTimeoutGrowth        = 4                       // a slow host adds up to this many times the base timeout
)

// Sizes and limits of the protocol.
const (
	MaxDatagram       = 1200 // bytes
	indirectProbes    = 3    // hosts asked to probe on behalf of another
	bridgesPerZone    = 2
	minAccusers       = 2     // accusers (hosts whose probes of a suspect failed) required for the short suspicion time
	fixedBytes        = 500   // bytes of a message without updates and progress
	maxAckProgress    = 32    // largest zone, in hosts, in which an Ack carries progress
	maxProgress       = 300   // largest zone, in hosts, whose progress fits into a message
	updateBytes       = 500   // bytes of updates in one message
	budgetRate        = 350   // bytes per second of each budget
	updateBurst       = 8000  // bytes
	syncBurst         = 32000 // bytes
	maxForeignUpdates = 8     // updates of other zones are queued only while the queue is shorter
	slicesPerZone     = 16    // slices into which a hash divides the records of a zone; their digests are compared separately
	maxLate           = 4     // hosts listed individually in a summary of progress
	versionShift      = 13    // low bits of a host's version that count refutations and role changes
)

// View lists the known hosts.
type View interface {
	// Hosts returns the known hosts in the order of their names.
	Hosts() []model.Host
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	HostChanged     EventKind = "host changed" // a host's state or incarnation changed
	ItemChanged     EventKind = "item changed" // an item has a newer version
	NameTaken       EventKind = "name taken"   // a newer host uses this host's name
	ZoneUnreachable EventKind = "zone unreachable"
	ZoneReachable   EventKind = "zone reachable again"
	Received        EventKind = "received" // another host sent data with SendTo
	Paused          EventKind = "paused"   // this host did not run, or its clock jumped forward
)

// Event reports a change to the owner of the core.
type Event struct {
	Kind EventKind
	Host model.Host
	Item Item
	Zone string
	From string // name of the host that sent Data
	Data []byte
}

// Packet is a message to be sent to a gossip address.
type Packet struct {
	To      string
	Message *Message
}

// Output holds the messages and events that result from one step.
type Output struct {
	Send   []Packet
	Events []Event
}
