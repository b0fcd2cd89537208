// Package member keeps the list of the system's hosts by gossip. Core is
// pure: messages and the time go in, messages and events come out. Inside an
// availability zone every host probes the others and spreads what it learns.
// A few hosts of each zone, its bridges, exchange news with other zones.
//
// The same messages carry items, which are versioned records that other
// packages publish, and the progress of each host: the revision it has put in
// force and the beacon of the control quorum that it has seen.
package member

import (
	"time"

	"greengagequay/internal/model"
)

// Times of the protocol.
const (
	TickInterval    = 50 * time.Millisecond // time between two calls of Tick
	probeInterval   = 200 * time.Millisecond
	directTimeout   = 150 * time.Millisecond  // then other hosts are asked to probe
	probeTimeout    = 400 * time.Millisecond  // then the host is suspected
	suspicionTime   = time.Second             // a suspicion that stands this long is a death
	fewSuspicion    = 1500 * time.Millisecond // the same in a zone of two hosts
	loneSuspicion   = 5 * time.Second         // the same with too few accusers
	syncInterval    = 2 * time.Second         // between comparisons inside the zone
	bridgeInterval  = time.Second             // between comparisons with other zones
	reviveInterval  = time.Second             // between contacts with a dead host or a seed
	tombstoneTime   = 24 * time.Hour          // a dead host is remembered this long
	maxStep         = 500 * time.Millisecond  // a longer gap between ticks is a pause of this host
	maxHealthFactor = 4                       // longest stretch of timeouts on a slow host
)

// Sizes of the protocol.
const (
	MaxDatagram  = 1200  // bytes
	indirect     = 3     // hosts asked to probe
	bridges      = 2     // bridges of a zone
	accusers     = 2     // independent accusers that a quick death needs
	fixedBytes   = 500   // bytes of a message without news and progress
	smallZone    = 32    // hosts of a zone in which answers carry progress too
	maxProgress  = 300   // hosts of a zone whose progress fits a message
	rumorBytes   = 500   // bytes of news in one message
	budgetRate   = 350   // bytes per second of each budget
	newsBurst    = 8000  // bytes
	syncBurst    = 32000 // bytes
	maxForeign   = 8     // pieces of news from other zones that are spread at a time
	parts        = 16    // slices of a zone that are compared one by one
	maxExcepted  = 4     // hosts listed apart in a summary of progress
	versionShift = 13    // bits of a host's version that count refutations
)

// View lists the known hosts.
type View interface {
	// Hosts returns the known hosts in the order of their names.
	Hosts() []model.Host
}

// EventKind classifies an event.
type EventKind string

// The kinds of events.
const (
	HostChanged EventKind = "host changed" // a host's state or incarnation changed
	ItemChanged EventKind = "item changed" // an item has a newer version
	NameTaken   EventKind = "name taken"   // a newer host uses this host's name
	ZoneCut     EventKind = "zone cut off"
	ZoneHealed  EventKind = "zone healed"
	Received    EventKind = "received" // another host sent data
	Paused      EventKind = "paused"   // this host did not run for a while
)

// Event is something that the owner of the core may act on.
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

// Output is the result of one step.
type Output struct {
	Send   []Packet
	Events []Event
}
