// Package slots admits requests to the slots of one backend server. The home
// of the backend server, one entry host, alone grants slots; every entry host
// is a holder of the grants it uses. The package is pure: no I/O, clock or
// goroutine.
package slots

import (
	"time"

	"greengagequay/internal/fence"
)

// Times that keep the number of requests at a backend server exact.
const (
	// CancelGrace is the time within which a backend server stops a request
	// that was cancelled or whose deadline passed.
	CancelGrace = time.Second
	// LeaseTerm is how long a home may grant after its lease was renewed.
	LeaseTerm = 2 * time.Second
)

// Verdict is the answer of a home to an attempt.
type Verdict int

// The verdicts. All but Granted prove that nothing ran.
const (
	NotHome Verdict = iota // the host is not the home, or not yet
	Granted                // the attempt holds a slot
	Queued                 // the attempt waits for a slot
	Full                   // no slot can be had before the deadline
)

// Request asks for a slot.
type Request struct {
	Attempt   string
	Customer  string        // waiting customers get slots in turn
	Holder    string        // process name of the entry host that asks
	Remaining time.Duration // until the attempt's deadline
}

// Answer is the answer to a Request.
type Answer struct {
	Verdict Verdict
	Claim   fence.Mark // under which the slot was granted
	Load    Load
	Evicted string // attempt that lost its place in the queue to this one, if any
}

// Load is how busy a backend server is, as its home knows.
type Load struct {
	Busy   int // slots in use
	Queued int // attempts that wait
	Slots  int // slots in all
}

// Hold is a slot in use.
type Hold struct {
	Attempt   string
	Holder    string
	Remaining time.Duration // until the slot is free at the latest
}

// Report is a host's answer to a claim on the backend server's slots.
type Report struct {
	fence.Report
	Running []Hold // attempts that this host has sent and that may still run
	Held    []Hold // all slots in use, if Served is not 0
}

// Params are the limits of a backend server.
type Params struct {
	Slots   int
	Queue   int           // attempts that may wait
	Ramp    time.Duration // time over which slots open after a cold start
	MaxHold time.Duration // longest time of a request
	InZone  bool          // the host is in the backend server's zone
}
