// Package slots grants the slots of one backend server to attempts. An attempt
// sends a request to the backend server at most once. Only the home of the backend
// server, one of the entry hosts, grants slots; every entry host holds the grants
// that it uses. A host becomes the home by a claim that the other entry hosts
// accept (see package fence). The package has no I/O, clock or goroutine.
package slots

import (
	"time"

	"greengagequay/internal/fence"
)

// The bound on concurrent requests at a backend server relies on these times.
const (
	// CancelGrace is how long a backend server may take to stop a request that
	// was cancelled or whose deadline passed.
	CancelGrace = time.Second
	// LeaseDuration is how long a home may grant slots after the lease renewal was sent.
	LeaseDuration = 2 * time.Second
)

// Verdict is the decision of a home on an attempt.
type Verdict int

// The verdicts. Any verdict but Granted proves that the attempt has not run.
const (
	NotHome Verdict = iota // the host is not the home, or may not grant slots now
	Granted                // the attempt holds a slot
	Queued                 // the attempt waits for a slot
	Full                   // no slot is expected before the deadline, the queue is full, the deadline is not within MaxHold, or the attempt was released already
)

// Request asks for a slot.
type Request struct {
	Attempt   string
	Customer  string        // slots go round robin to the customers with queued attempts
	Holder    string        // process name (see fence.Mark) of the entry host that sends the attempt
	Remaining time.Duration // until the attempt's deadline
}

// Answer answers a Request.
type Answer struct {
	Verdict Verdict
	Claim   fence.Mark // claim under which the home decided
	Load    Load
	Evicted string // attempt removed from the queue in favor of this one, empty if none
}

// Load is the load of a backend server as known to its home.
type Load struct {
	Busy   int // slots in use
	Queued int // attempts in the queue
	Slots  int // total number of slots
}

// Hold is a slot in use, as reported to a new home.
type Hold struct {
	Attempt   string
	Holder    string        // process name of the entry host
	Remaining time.Duration // time until the slot is free at the latest
}

// Report is a host's answer to a claim on the backend server's slots.
type Report struct {
	fence.Report
	Running []Hold // attempts sent by this host that may still run
	Held    []Hold // all slots in use when the home of epoch Served closed, if Served is not 0
}

// Params are the limits of a backend server.
type Params struct {
	Slots   int
	Queue   int           // maximum length of the queue
	Ramp    time.Duration // time over which slots open gradually if the backend server had no home before
	MaxHold time.Duration // longest time that a request may take
	InZone  bool          // whether this host is in the backend server's zone
}
