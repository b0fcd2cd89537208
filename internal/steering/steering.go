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
	OpenAlready                // a copy of an opening packet came after its flow was open
)

var reasonNames = [...]string{
	"by_token", "placed", "placed_again", "no_state", "no_route", "no_server", "unknown_token", "server_gone", "open_already",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Decision is a verdict with its inputs.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Server  *Server // of Forward
	Service string  // for which a backend server was looked for
	// Opened is how long the flow took to open, on its first packet after the
	// opening one, else 0.
	Opened time.Duration
	// Unanswered is a backend server that left an opening packet of this flow
	// without an answer, or nil. Others should hear of it.
	Unanswered *Server
}

// Steerer decides for one entry host. It is not safe for concurrent use.
type Steerer struct {
	cfg      Config
	table    *Table
	opened   map[Flow]opening
	used     map[string]time.Duration // when a flow was last placed on a backend server, by id
	drains   drains
	suspects suspects
}

// opening is a flow that was placed here and whose caller may send its opening
// packet again.
type opening struct {
	first    time.Duration // when its first opening packet came
	at       time.Duration // when its latest one came
	last     *Server       // to which that one went
	tried    []string      // ids
	answered bool          // its caller went on
}

// openingMemory is for how long a placed flow is remembered: its caller sends
// the last copy of the opening packet before that.
const openingMemory = 2 * time.Second

// Config holds the parameters of a steerer.
type Config struct {
	Zone string // availability zone of the host
	// DrainUse is for how long a draining backend server still gets new flows if
	// there is no other. It has to be well below the time that it goes on for.
	DrainUse time.Duration
}

// New returns a steerer.
func New(cfg Config) *Steerer {
	return &Steerer{
		cfg: cfg, table: Build(nil, nil), opened: map[Flow]opening{}, used: map[string]time.Duration{},
		drains: drains{}, suspects: newSuspects(),
	}
}

// Use puts a table in force. One with an older document is refused: a host
// never goes back.
func (s *Steerer) Use(now time.Duration, t *Table) bool {
	if t.Version < s.table.Version {
		return false
	}
	s.drains.note(now, s.table, t)
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
	return Decision{Verdict: Forward, Reason: ByToken, Server: server, Opened: s.confirm(now, p.Flow(), server)}
}

// confirm notes that a flow placed here is open, and returns how long that took.
func (s *Steerer) confirm(now time.Duration, f Flow, server *Server) time.Duration {
	o, ok := s.opened[f]
	if !ok || o.answered {
		return 0
	}
	o.answered = true
	s.opened[f] = o
	s.suspects.clear(now, server.ID)
	return now - o.first
}

// Suspect notes that another host got no answer from a backend server.
func (s *Steerer) Suspect(now time.Duration, id string, born int64) { s.suspects.add(now, id, born) }

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
	if before.answered {
		return Decision{Verdict: Drop, Reason: OpenAlready} // a late copy
	}
	d := Decision{Verdict: Forward, Reason: Placed, Service: targetOf(route, flow)}
	if before.last != nil {
		d.Reason, d.Unanswered = PlacedAgain, s.unanswered(now, before.last)
	} else {
		before.first = now
	}
	d.Server = s.choose(now, s.table.services[d.Service], before.tried)
	if d.Server == nil {
		return Decision{Verdict: Refuse, Reason: NoServer, Service: d.Service, Unanswered: d.Unanswered}
	}
	s.used[d.Server.ID] = now
	s.opened[flow] = opening{first: before.first, at: now, last: d.Server, tried: append(before.tried, d.Server.ID)}
	return d
}

// unanswered notes that a backend server left an opening packet without an
// answer. It returns it if others should hear of it.
func (s *Steerer) unanswered(now time.Duration, server *Server) *Server {
	s.suspects.add(now, server.ID, server.Born)
	if !s.suspects.proven(now) {
		return nil
	}
	return server
}

// Forget drops what is no longer needed. It is called about once a second.
func (s *Steerer) Forget(now time.Duration) {
	for flow, o := range s.opened {
		if now-o.at > openingMemory {
			delete(s.opened, flow)
		}
	}
	s.suspects.forget(now)
	s.drains.forget(now, s.cfg.DrainUse)
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
