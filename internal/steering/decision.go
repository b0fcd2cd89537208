package steering

import (
	"net/netip"
	"time"
)

// Packet holds the properties of a packet that steering uses.
type Packet struct {
	Caller  netip.AddrPort
	Route   netip.AddrPort // address to which the caller sends the packet
	Opening bool           // whether the packet opens a flow
	Copy    uint32         // of an opening packet: 0 for the original, n for the nth retransmission
	Reset   bool           // whether the caller resets the flow
	Fin     bool           // whether the caller sends nothing after this packet
	// SeenFirst is whether the original of a copy waited at this host and was not placed.
	SeenFirst bool
	// Delayed is whether an opening packet may have waited at this host until its caller
	// sent another copy, which another entry host may have placed.
	Delayed bool
	Ack     uint32 // number of the next byte that the caller expects; meaningless in an opening packet
	Token   Token
	// Sequence is the number of the first data byte in the packet, Data the
	// number of data bytes.
	Sequence uint32
	Data     int
}

// Flow returns the flow of the packet.
func (p Packet) Flow() Flow { return Flow{Caller: p.Caller, Route: p.Route} }

// Flow identifies a flow by its endpoints.
type Flow struct {
	Caller netip.AddrPort
	Route  netip.AddrPort
}

// Verdict is the action for a packet.
type Verdict uint8

// The verdicts.
const (
	Forward Verdict = iota
	Refuse          // send a reset to the caller
	Drop
)

var verdictNames = [...]string{"forward", "refuse", "drop"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Reason is the reason for a verdict.
type Reason uint8

// The reasons.
const (
	ByToken      Reason = iota // a packet of an open flow goes to the backend server of its token
	Placed                     // a new flow was placed
	PlacedAgain                // a new flow was placed again after an opening packet got no answer
	NoState                    // this host has no document, or does not know the backend servers or evacuated zones yet
	NoRoute                    // no route has the address
	NoServer                   // no backend server of the service takes flows
	UnknownToken               // no backend server with this token is known
	ServerGone                 // the flow's backend server has ended
	OpenAlready                // a copy of an opening packet arrived after its flow was open
	Cold                       // the backend servers of the service are cold, and this host may not use them now
	Evacuated                  // all backend servers of the service that take flows are in evacuated zones
	Overload                   // all zones are full, and flows of this priority are refused first
)

var reasonNames = [...]string{
	"by_token", "placed", "placed_again", "no_state", "no_route", "no_server", "unknown_token", "server_gone", "open_already",
	"cold", "evacuated", "overload",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is a verdict and what it was based on.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Server  *Server // set for Forward, and for Refuse with ServerGone
	Service string  // target service, set if Reason is Placed, PlacedAgain, NoServer, Cold, Evacuated or Overload
	// Opened is how long a flow placed by this host took to open. It is set for
	// the first packet after the opening ones, and 0 for all others.
	Opened time.Duration
	// Unanswered is a backend server that left an opening packet of this flow
	// unanswered and should be reported to other hosts, or nil.
	Unanswered *Server
}

// Reasons returns all reasons.
func Reasons() []Reason {
	var all []Reason
	for r := range reasonNames {
		all = append(all, Reason(r))
	}
	return all
}
