package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// simHost is a simulated control host. Its name is also its address.
type simHost struct {
	name      string
	disk      *memDisk
	engine    *engine // nil while the host is down
	replica   *replica.Replica
	partition int // hosts in different partitions do not reach each other
}

type simMessage struct {
	at       time.Duration
	from, to string
	envelope Envelope
}

// sim runs control hosts in simulated time.
type sim struct {
	tb       testing.TB
	rand     *rand.Rand
	now      time.Duration
	hosts    []*simHost
	inFlight []simMessage
	faulty   bool // the network loses, delays and duplicates messages
}

const (
	simStep = 10 * time.Millisecond
	// simSegmentBytes is the size of a few changes, so that leaders' entries are replaced
	// across segments.
	simSegmentBytes = 1 << 10
)

// newSim starts a log on three hosts.
func newSim(tb testing.TB, seed uint64) *sim {
	s := &sim{tb: tb, rand: rand.New(rand.NewPCG(seed, 2))}
	var members []raft.Member
	for _, name := range []string{"a", "b", "c"} {
		h := &simHost{name: name, disk: &memDisk{files: map[string]*memFile{}}}
		s.hosts = append(s.hosts, h)
		s.start(h)
		members = append(members, raft.Member{ID: h.engine.cfg.ID, Name: name, Addr: name, Voter: true})
	}
	if err := s.hosts[0].engine.startLog(s.now, members); err != nil {
		tb.Fatal(err)
	}
	return s
}

func (s *sim) start(h *simHost) {
	log, stored, err := wal.Open(h.disk, func() raft.ID { return raft.ID(s.rand.Uint64()) })
	if err != nil {
		s.tb.Fatal(err)
	}
	log.LimitSegments(simSegmentBytes)
	h.replica = replica.New()
	cfg := raft.Config{ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Rand: s.rand}
	h.engine, err = newEngine(cfg, stored, log, h.replica, s.now)
	if err != nil {
		s.tb.Fatal(err)
	}
	h.engine.seed = s.rand.Uint64
	h.engine.snapshotEntries, h.engine.trailingEntries = 40, 5
	h.engine.send = func(addr string, m []raft.Message) { s.send(h.name, addr, Envelope{Addr: h.name, Messages: m}) }
}

func (s *sim) crash(h *simHost) {
	h.engine = nil
	h.disk.crash()
}

func (s *sim) replaceDisk(h *simHost) {
	h.engine = nil
	h.disk = &memDisk{files: map[string]*memFile{}}
	s.start(h)
}

func (s *sim) send(from, to string, e Envelope) {
	copies := 1
	if s.faulty {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[s.rand.IntN(10)]
	}
	for range copies {
		delay := time.Millisecond
		if s.faulty {
			delay = time.Duration(s.rand.Int64N(int64(5 * simStep)))
		}
		s.inFlight = append(s.inFlight, simMessage{s.now + delay, from, to, e})
	}
}

func (s *sim) host(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (s *sim) connected(a, b *simHost) bool {
	return a != nil && b != nil && a.engine != nil && b.engine != nil && a.partition == b.partition
}

func (s *sim) step() {
	s.now += simStep
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		to := s.host(m.to)
		if m.at > s.now {
			s.inFlight = append(s.inFlight, m)
		} else if s.connected(s.host(m.from), to) {
			to.engine.receive(s.now, m.envelope)
			to.engine.process(s.now)
		}
	}
	for _, h := range s.hosts {
		if h.engine != nil {
			h.engine.tick(s.now)
			h.engine.process(s.now)
		}
	}
}

// stepUntil advances the simulation until the condition holds, and fails the
// test after 60 simulated seconds.
func (s *sim) stepUntil(what string, holds func() bool) {
	s.tb.Helper()
	for range 6000 {
		if holds() {
			return
		}
		s.step()
	}
	s.tb.Fatalf("timed out waiting for %s", what)
}

func (s *sim) stepFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// leader returns the host that holds the lease, and waits until there is one.
func (s *sim) leader() *simHost {
	s.tb.Helper()
	var found *simHost
	s.stepUntil("a leader", func() bool {
		for _, h := range s.hosts {
			if h.engine != nil && h.engine.failed == nil && h.engine.node.Status(s.now).LeaseLeft > 0 {
				found = h
			}
		}
		return found != nil
	})
	return found
}

// others returns all hosts except h.
func (s *sim) others(h *simHost) []*simHost {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(x *simHost) bool { return x == h })
}

// submit proposes a command once. The returned outcome is filled in when the
// result arrives.
func (s *sim) submit(h *simHost, c state.Command) *outcome {
	data, err := state.Encode(c)
	if err != nil {
		s.tb.Fatal(err)
	}
	o := &outcome{}
	h.engine.propose(data, func(r state.Result, err error) {
		if r.Revision != 0 || r.Err != nil || err != nil {
			*o = outcome{r, err}
		}
	})
	h.engine.process(s.now)
	return o
}

func (o *outcome) known() bool { return o.err != nil || o.result.Revision != 0 || o.result.Err != nil }

// commitChange commits a change on the leader, with retries, and returns its
// revision.
func (s *sim) commitChange(id string, value int) uint64 {
	s.tb.Helper()
	var o *outcome
	s.stepUntil("commit of change "+id, func() bool {
		if o == nil || o.err != nil {
			o = s.submit(s.leader(), setCommand(id, value))
		}
		return o.known() && o.err == nil
	})
	return o.result.Revision
}

// waitApplied waits until all running hosts have applied a revision.
func (s *sim) waitApplied(revision uint64) {
	s.tb.Helper()
	s.stepUntil(fmt.Sprintf("revision %d on all running hosts", revision), func() bool {
		for _, h := range s.hosts {
			if h.engine != nil && h.replica.Revision() < revision {
				return false
			}
		}
		return true
	})
}

func (s *sim) changeMembers(change func(raft.Membership) (raft.Membership, error)) {
	s.tb.Helper()
	var o *outcome
	s.stepUntil("a change of members", func() bool {
		if o == nil || o.err != nil {
			o = &outcome{}
			current := o
			s.leader().engine.proposeMembership(change, func(r state.Result, err error) { *current = outcome{r, err} })
		}
		return o.known() && o.err == nil
	})
}

func setCommand(id string, value int) state.Command {
	ops := []settings.Op{{Action: settings.Set, Path: "/", Key: settings.RequestQueue, Value: fmt.Sprint(value)}}
	return state.Command{Change: &state.Change{ID: id, Ops: ops}}
}

func setCommandIfUnchanged(base uint64, id string, value int) state.Command {
	c := setCommand(id, value)
	c.Change.Base, c.Change.HasBase = base, true
	return c
}

// value returns the setting's value on this host, and the settings revision.
func (h *simHost) value() (value int, revision uint64) {
	h.replica.Read(func(s *state.State) {
		value, revision = s.Tree.Int("/", settings.RequestQueue), s.SettingsRevision
	})
	return value, revision
}

// hasAnswer reports whether this host's state holds the answer to the change.
func (h *simHost) hasAnswer(id string) (known bool) {
	h.replica.Read(func(s *state.State) { _, known = s.Answer(id) })
	return known
}
