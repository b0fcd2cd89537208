package conntrack

import (
	"net/netip"
	"time"

	"greengagequay/internal/steering"
)

// Kind is the kind of an outcome.
type Kind uint8

// The kinds.
const (
	Answered   Kind = iota // a request was answered
	Refused                // an opening packet was neither followed nor repeated
	Unanswered             // a request got no answer in time
)

var kindNames = [...]string{"answered", "refused", "unanswered"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Outcome is what became of an opening packet or a request.
type Outcome struct {
	Server  string // id of the backend server
	Born    int64  // its start time in Unix milliseconds
	Service string
	Route   netip.AddrPort
	Kind    Kind
	Latency time.Duration // of an answer: from the first packet of the request to the first rise of the acknowledgement number
	Bytes   int           // of an answer: that rise
}

// Flow is a tracked flow with what a reset of it needs.
type Flow struct {
	steering.Flow
	Ack    uint32 // highest acknowledgement number of the caller
	Server string // id of the backend server
}
