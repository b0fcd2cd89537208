// Package health decides which backend servers take new work. Observations of the
// data path count before active probes, and probes before the state that a backend
// server announces itself, which may be late or wrong. Hosts share their findings as
// votes, so that failures seen by one host alone eject no backend server, unless its
// zone has at most one live host. The package is pure: no I/O, clock or goroutine.
package health

import (
	"maps"
	"slices"
	"time"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// Outcome is the result of one use of a backend server.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota // it answered, possibly with an error of its own
	Refused                 // it refused or reset the connection
	TimedOut                // it did not answer in time
)

// Observer receives the outcomes that the data path observes.
type Observer interface {
	// Observe records an outcome. It may be called from any goroutine.
	Observe(id string, o Outcome)
}

// Limits for findings and votes.
const (
	failuresUntilBad    = 3                // consecutive failures after which a backend server is bad
	minFailureSpan      = time.Second      // minimum time between the first and the last of the consecutive failures
	answersUntilGood    = 2                // consecutive answers after which a bad backend server is good
	observationTTL      = 5 * time.Second  // how long an observation of the data path counts
	badObservationTTL   = baseEjectionTime // how long an observation counts that shows the backend server as bad
	probeInterval       = time.Second
	probersPerBackend   = 2 // hosts that probe one backend server
	badVotesNeeded      = 2 // hosts that must vote bad, unless the backend server's zone has fewer live hosts
	maxBadVotes         = 3 // a host publishes no bad vote if at least this many others vote bad and outnumber those that vote good
	voteRefreshInterval = 30 * time.Second
)

// Limits of ejections.
const (
	baseEjectionTime  = 10 * time.Second // minimum duration of the first ejection; doubles with each further one
	maxEjectionTime   = 5 * time.Minute
	ejectionResetTime = 10 * time.Minute // time since the last return after which ejections are counted from 0 again
	slowStartTime     = 30 * time.Second // how long the weight rises after an ejection
	slowStartMinShare = 0.1              // share of the weight right after an ejection
)

// Options of a core.
type Options struct {
	Host string // name of this host
	Zone string // zone of this host
	// EjectShare returns the largest share of a service's backend servers
	// that may be ejected.
	EjectShare func(service string) float64
}

// Core holds the evidence of one host and the votes of all hosts. It is not safe for
// concurrent use.
type Core struct {
	Options
	observed map[string]*evidence        // by backend server
	votes    map[string]map[string]*vote // by backend server and host
	states   map[string]*ejectionState   // by backend server
	failOpen map[string]bool             // by service, see Event.FailOpen
}

// evidence is what this host has observed of one backend server.
type evidence struct {
	data, probe signal
	nextProbe   time.Time
	published   *vote // this host's vote, nil if it has none
	publishedAt time.Time
}

// signal summarizes the outcomes of the data path or of probes.
type signal struct {
	bad          bool
	failures     int       // consecutive failures
	answers      int       // consecutive answers
	firstFailure time.Time // time of the first of the consecutive failures
	lastOutcome  time.Time
}

func (s *signal) record(now time.Time, o Outcome) {
	s.lastOutcome = now
	if o == Answered {
		s.failures = 0
		s.answers++
		s.bad = s.bad && s.answers < answersUntilGood
		return
	}
	s.answers = 0
	if s.failures == 0 {
		s.firstFailure = now
	}
	s.failures++
	s.bad = s.bad || (s.failures >= failuresUntilBad && now.Sub(s.firstFailure) >= minFailureSpan)
}

// ejectionState is the result of the votes on one backend server and of its ejections.
type ejectionState struct {
	service   string
	ejected   bool
	changedAt time.Time // when it was last ejected or returned
	ejections int       // recent ejections, see ejectionResetTime
	bad       bool      // whether the votes declare the backend server bad
	badSince  time.Time
}

// New returns a core without evidence.
func New(o Options) *Core {
	return &Core{
		Options: o, observed: map[string]*evidence{}, votes: map[string]map[string]*vote{},
		states: map[string]*ejectionState{}, failOpen: map[string]bool{},
	}
}

func (c *Core) evidence(id string) *evidence {
	e := c.observed[id]
	if e == nil {
		e = &evidence{}
		c.observed[id] = e
	}
	return e
}

// Observe records an outcome of the data path.
func (c *Core) Observe(now time.Time, id string, o Outcome) { c.evidence(id).data.record(now, o) }

// ObserveProbe records the outcome of an active probe.
func (c *Core) ObserveProbe(now time.Time, id string, o Outcome) { c.evidence(id).probe.record(now, o) }

// Event is a change that is reported to the operator.
type Event struct {
	Service  string
	Backend  string // empty if the event concerns the service
	Ejected  bool
	Returned bool
	FailOpen bool // for a service: whether more backend servers should be ejected than may be
}

// Output is the result of a tick.
type Output struct {
	Probe  []model.Backend // backend servers that this host must probe now
	Items  []member.Item   // votes to publish by gossip
	Events []Event
}

// Tick updates this host's votes, counts all votes and decides on ejections. backends
// are the announced backend servers, and hosts are all known hosts.
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
		out.Items = append(out.Items, c.updateVote(now, b, live)...)
		c.countVotes(now, b, live)
	}
	for _, id := range slices.Sorted(maps.Keys(c.observed)) {
		if !known[id] {
			out.Items = append(out.Items, c.withdraw(now, id)...)
			delete(c.observed, id)
		}
	}
	maps.DeleteFunc(c.states, func(id string, _ *ejectionState) bool { return !known[id] })
	out.Events = c.updateEjections(now)
	return out
}

// Share returns the share of its weight that a backend server should get: 0 while it
// is ejected, rising to 1 within slowStartTime after its return.
func (c *Core) Share(now time.Time, id string) float64 {
	s := c.states[id]
	switch {
	case s == nil || (!s.ejected && s.ejections == 0):
		return 1
	case s.ejected:
		return 0
	}
	passed := float64(now.Sub(s.changedAt)) / float64(slowStartTime)
	return min(1, max(slowStartMinShare, passed))
}

// Apply returns the backend servers with the states that placement should use. A
// ready one that is ejected, or whose announcements have stopped, becomes draining: it
// keeps its flows and gets no new ones. One whose announcements have stopped and that
// is bad by the votes becomes gone.
func (c *Core) Apply(backends []model.Backend) []model.Backend {
	list := slices.Clone(backends)
	for i, b := range list {
		list[i].State = c.stateOf(b)
	}
	return list
}

func (c *Core) stateOf(b model.Backend) model.BackendState {
	s := c.states[b.ID]
	bad, ejected := s != nil && s.bad, s != nil && s.ejected
	switch {
	case b.Silent && bad && b.State != model.Gone:
		return model.Gone
	case b.State == model.Ready && (b.Silent || ejected):
		return model.Draining
	}
	return b.State
}
