package steering

import (
	"net/netip"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
)

// Packet is what steering needs to know of a packet.
type Packet struct {
	Caller  netip.AddrPort
	Route   netip.AddrPort // to which the caller sends it
	Opening bool           // it opens a flow
	Copy    uint32         // of an opening packet: how often it was sent before
	Reset   bool           // the caller ends the flow
	Token   Token
	// Sequence and Data number the bytes that the packet carries.
	Sequence uint32
	Data     int
}

// Flow returns the flow of the packet.
func (p Packet) Flow() Flow { return Flow{Caller: p.Caller, Route: p.Route} }

// Flow names a flow by its ends.
type Flow struct {
	Caller netip.AddrPort
	Route  netip.AddrPort
}

// Verdict is what is done with a packet.
type Verdict uint8

// The verdicts.
const (
	Forward Verdict = iota
	Refuse          // send the caller a reset
	Drop
)

var verdictNames = [...]string{"forward", "refuse", "drop"}

// String returns the name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Reason tells why a verdict was given.
type Reason uint8

// The reasons.
const (
	ByToken      Reason = iota // an open flow goes to its backend server
	Placed                     // a new flow was placed
	PlacedAgain                // a new flow was placed elsewhere, since the first choice did not answer
	NoState                    // this host has no settings or backend servers yet
	NoRoute                    // no route leads to the address
	NoServer                   // no backend server of the service takes flows
	UnknownToken               // no backend server with this token is known
	ServerGone                 // the flow's backend server has ended
)

var reasonNames = [...]string{
	"by_token", "placed", "placed_again", "no_state", "no_route", "no_server", "unknown_token", "server_gone",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is a verdict with its inputs.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Server  *Server // of Forward
}

// Steerer decides for one entry host. It is not safe for concurrent use.
type Steerer struct {
	zone   string
	table  *Table
	opened map[Flow]opening
	used   map[string]time.Duration // when a flow was last placed on a backend server, by id
}

// opening is a flow that was placed here and whose caller may send its opening
// packet again.
type opening struct {
	at    time.Duration
	tried []string // ids
}

// openingMemory is for how long a placed flow is remembered: its caller sends
// the last copy of the opening packet before that.
const openingMemory = 2 * time.Second

// New returns a steerer for a host in an availability zone.
func New(zone string) *Steerer {
	return &Steerer{zone: zone, table: Build(nil, nil), opened: map[Flow]opening{}, used: map[string]time.Duration{}}
}

// Use puts a table in force. One with an older document is refused: a host
// never goes back.
func (s *Steerer) Use(t *Table) bool {
	if t.Version < s.table.Version {
		return false
	}
	s.table = t
	return true
}

// Table returns the table in force.
func (s *Steerer) Table() *Table { return s.table }

// Decide returns what to do with a packet.
func (s *Steerer) Decide(now time.Duration, p Packet) Decision {
	if p.Opening {
		return s.open(now, p)
	}
	server := s.table.tokens[p.Token]
	switch {
	case p.Token == 0 || server == nil:
		return Decision{Verdict: Drop, Reason: UnknownToken}
	case server.Status == catalog.Gone && p.Reset:
		return Decision{Verdict: Drop, Reason: ServerGone}
	case server.Status == catalog.Gone:
		return Decision{Verdict: Refuse, Reason: ServerGone, Server: server}
	}
	return Decision{Verdict: Forward, Reason: ByToken, Server: server}
}

// open places a new flow.
func (s *Steerer) open(now time.Duration, p Packet) Decision {
	if !s.table.Ready() {
		return Decision{Verdict: Drop, Reason: NoState} // a copy may reach a host that knows more
	}
	route := s.table.routes[p.Route]
	if route == nil {
		return Decision{Verdict: Refuse, Reason: NoRoute}
	}
	flow := p.Flow()
	before := s.opened[flow]
	if p.Copy == 0 || now-before.at > openingMemory {
		before = opening{}
	}
	server := s.choose(s.table.services[targetOf(route, flow)], before.tried)
	if server == nil {
		return Decision{Verdict: Refuse, Reason: NoServer}
	}
	s.used[server.ID] = now
	s.opened[flow] = opening{at: now, tried: append(before.tried, server.ID)}
	if len(before.tried) > 0 {
		return Decision{Verdict: Forward, Reason: PlacedAgain, Server: server}
	}
	return Decision{Verdict: Forward, Reason: Placed, Server: server}
}

// Forget drops what is no longer needed. It is called about once a second.
func (s *Steerer) Forget(now time.Duration) {
	for flow, o := range s.opened {
		if now-o.at > openingMemory {
			delete(s.opened, flow)
		}
	}
	for id := range s.used {
		if s.table.tokens[TokenOf(id)] == nil {
			delete(s.used, id)
		}
	}
}

// targetOf returns the service of a flow. All copies of its opening packet get
// the same one.
func targetOf(r *document.Route, f Flow) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	at := f.hash() % total
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}

// Reasons returns all reasons.
func Reasons() []Reason {
	var all []Reason
	for r := range reasonNames {
		all = append(all, Reason(r))
	}
	return all
}
