// Package health decides which backend servers take new work. It weighs what
// the data path sees, then active probes, then what the backend server
// announces: its own reports may lag or be wrong. Hosts share their findings
// as votes, so that the trouble of one host ejects nobody. The package is
// pure: no I/O, clock or goroutine.
package health

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// Outcome is what became of one use of a backend server.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // it answered, even if with an error of its own
	Refused                 // it refused the connection or reset it
	TimedOut                // it gave no sign of life in time
)

// Observer takes what the data path sees of backend servers.
type Observer interface {
	// Observe notes an outcome. It may be called from any goroutine.
	Observe(id string, o Outcome)
}

// Evidence of one host.
const (
	failuresForBad = 3               // in a row
	failureSpan    = time.Second     // from the first failure to the last
	answersForGood = 2               // in a row, of a backend server that was bad
	usedWithin     = 5 * time.Second // an older observation counts no longer
	badWithin      = minOut          // the same where it was bad
	probeInterval  = time.Second
	probers        = 2 // hosts that probe one backend server
	votesForBad    = 2 // hosts that must agree
	votesWorthMore = 3 // further hosts do not vote
	voteInterval   = 30 * time.Second
)

// Ejections.
const (
	minOut     = 10 * time.Second // first ejection, doubled at each further one
	maxOut     = 5 * time.Minute
	forgiven   = 10 * time.Minute // without an ejection the count starts again
	slowStart  = 30 * time.Second // after an ejection
	firstShare = 0.1              // of its weight, at the start of the return
)

// Options of a core.
type Options struct {
	Host string // name of this host
	Zone string // its zone
	// EjectShare returns the largest share of a service's backend servers
	// that may be ejected.
	EjectShare func(service string) float64
}

// Core holds the evidence of one host and the votes of all. It is not safe
// for concurrent use.
type Core struct {
	Options
	seen     map[string]*evidence        // by backend server
	votes    map[string]map[string]*vote // by backend server and host
	judged   map[string]*judgement
	failOpen map[string]bool // by service
}

// evidence is what this host found out about one backend server.
type evidence struct {
	data, probe signal
	nextProbe   time.Time
	published   *vote
	at          time.Time // of publishing
}

// signal follows the outcomes of one kind.
type signal struct {
	bad      bool
	failures int // in a row
	answers  int // in a row
	first    time.Time
	last     time.Time
}

func (s *signal) note(now time.Time, o Outcome) {
	s.last = now
	if o == Answered {
		s.failures = 0
		s.answers++
		s.bad = s.bad && s.answers < answersForGood
		return
	}
	s.answers = 0
	if s.failures == 0 {
		s.first = now
	}
	s.failures++
	s.bad = s.bad || (s.failures >= failuresForBad && now.Sub(s.first) >= failureSpan)
}

// judgement is the state of one backend server.
type judgement struct {
	service string
	out     bool
	since   time.Time // of out, or of the return
	times   int       // ejections of late
	bad     bool      // the votes are against it
	badFrom time.Time
}

// New returns a core without evidence.
func New(o Options) *Core {
	return &Core{
		Options: o, seen: map[string]*evidence{}, votes: map[string]map[string]*vote{},
		judged: map[string]*judgement{}, failOpen: map[string]bool{},
	}
}

func (c *Core) evidence(id string) *evidence {
	e := c.seen[id]
	if e == nil {
		e = &evidence{}
		c.seen[id] = e
	}
	return e
}

// Observe takes an outcome of the data path.
func (c *Core) Observe(now time.Time, id string, o Outcome) { c.evidence(id).data.note(now, o) }

// Probed takes the outcome of an active probe.
func (c *Core) Probed(now time.Time, id string, o Outcome) { c.evidence(id).probe.note(now, o) }

// Event tells of a change that an operator should know.
type Event struct {
	Service  string
	Backend  string // empty if the event concerns the service
	Ejected  bool
	Returned bool
	FailOpen bool // more are bad than may be ejected
}

// Output is the result of a tick.
type Output struct {
	Probe  []model.Backend // to be probed now by this host
	Items  []member.Item   // votes to be spread
	Events []Event
}

// Tick weighs the evidence. Backends are the announced backend servers, hosts
// all known hosts.
func (c *Core) Tick(now time.Time, backends []model.Backend, hosts []model.Host) Output {
	var out Output
	live := liveHosts(hosts)
	known := map[string]bool{}
	for _, b := range backends {
		if b.State == model.Gone {
			continue
		}
		known[b.ID] = true
		if c.dueProbe(now, b, live) {
			out.Probe = append(out.Probe, b)
		}
		out.Items = append(out.Items, c.vote(now, b, live)...)
		c.weigh(now, b, live)
	}
	for _, id := range slices.Sorted(maps.Keys(c.seen)) {
		if !known[id] {
			out.Items = append(out.Items, c.withdraw(now, id)...)
			delete(c.seen, id)
		}
	}
	maps.DeleteFunc(c.judged, func(id string, _ *judgement) bool { return !known[id] })
	out.Events = c.eject(now)
	return out
}

// Share returns the part of its weight that a backend server should get, from
// 0 when it is ejected to 1.
func (c *Core) Share(now time.Time, id string) float64 {
	j := c.judged[id]
	switch {
	case j == nil || (!j.out && j.times == 0):
		return 1
	case j.out:
		return 0
	}
	passed := float64(now.Sub(j.since)) / float64(slowStart)
	return min(1, max(firstShare, passed))
}

// Apply returns the backend servers as placement should see them. One that is
// ejected, or whose announcements have stopped, keeps its flows and gets no
// new ones. If both hold, it is gone.
func (c *Core) Apply(backends []model.Backend) []model.Backend {
	list := slices.Clone(backends)
	for i, b := range list {
		list[i].State = c.stateOf(b)
	}
	return list
}

func (c *Core) stateOf(b model.Backend) model.BackendState {
	j := c.judged[b.ID]
	bad, out := j != nil && j.bad, j != nil && j.out
	switch {
	case b.Silent && bad && b.State != model.Gone:
		return model.Gone
	case b.State == model.Ready && (b.Silent || out):
		return model.Draining
	}
	return b.State
}
