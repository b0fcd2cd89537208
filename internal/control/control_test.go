package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// A partitioned leader considers itself the leader for a while. It must commit
// nothing and serve no reads.
func TestStaleLeaderAcceptsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1)
	s.waitApplied(s.commitChange("before", 10))
	old := s.leader()
	old.partition = 1
	lost := s.submit(old, setCommand("lost", 11))
	after := s.commitChange("after", 12)
	c.Assert(s.leader(), qt.Not(qt.Equals), old)
	s.stepUntil("the old leader to lose the leadership", func() bool { return lost.known() })
	c.Assert(fault.KindOf(lost.err), qt.Equals, fault.OutcomeUnknown)
	refused := s.submit(old, setCommand("refused", 13))
	c.Assert(fault.KindOf(refused.err), qt.Equals, fault.Unavailable)
	var readErr error
	old.engine.read(s.now, func(_ uint64, err error) { readErr = err })
	c.Assert(fault.KindOf(readErr), qt.Equals, fault.NotCurrent)
	st := old.engine.node.Status(s.now)
	c.Assert(st.Current, qt.IsFalse)
	old.partition = 0
	s.waitApplied(after)
	value, _ := old.value()
	c.Assert(value, qt.Equals, 12)
	again := s.submit(s.leader(), setCommand("lost", 11)) // the operator resends the change
	s.stepUntil("a result", again.known)
	c.Assert(again.result.Repeated, qt.IsFalse)
}

// A leader that was frozen until its lease expired must serve no reads when it
// resumes, even before its next tick.
func TestFrozenLeaderReadsNothingStale(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 2)
	s.waitApplied(s.commitChange("before", 10))
	old := s.leader()
	frozen := old.engine
	old.engine = nil
	s.commitChange("after", 12)
	old.engine = frozen
	answered := false
	old.engine.read(s.now, func(_ uint64, err error) { answered = err == nil })
	old.engine.process(s.now)
	c.Assert(answered, qt.IsFalse)
	s.stepFor(2 * electionTimeout)
	c.Assert(answered, qt.IsFalse)
}

// Of two changes that are based on the same revision, the second must fail with a
// conflict that names the first.
func TestTwoOperatorsWithOneRevision(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 3)
	base := s.commitChange("first", 10)
	one := s.submit(s.leader(), setCommandIfUnchanged(base, "one", 11))
	two := s.submit(s.leader(), setCommandIfUnchanged(base, "two", 12))
	s.stepUntil("both results", func() bool { return one.known() && two.known() })
	c.Assert(one.result.Err == nil, qt.IsTrue)
	c.Assert(two.result.Err.Kind, qt.Equals, fault.Conflict)
	c.Assert(two.result.Changed, qt.HasLen, 1)
	c.Assert(two.result.Changed[0].ID, qt.Equals, "one")
}

// The leader crashes and its answer is lost. The change is resent to the next
// leader, and again after snapshots and a restart of all hosts. Each time the
// result must be that of the first commit.
func TestLostAnswerAndResend(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 4)
	first := s.commitChange("change", 10)
	s.crash(s.leader())
	again := s.submit(s.leader(), setCommand("change", 10))
	s.stepUntil("a result", again.known)
	c.Assert(again.result.Revision, qt.Equals, first)
	c.Assert(again.result.Repeated, qt.IsTrue)
	for i := range 100 {
		s.commitChange(string(rune('A'+i)), 100+i)
	}
	for _, h := range s.hosts {
		s.crash(h)
		s.start(h)
	}
	again = s.submit(s.leader(), setCommand("change", 10))
	s.stepUntil("a result", again.known)
	c.Assert(again.result.Revision, qt.Equals, first)
}

// newSimWithFullLeader returns a simulation with one change, and its leader, whose disk
// has been full since.
func newSimWithFullLeader(tb testing.TB) (*sim, *simHost) {
	s := newSim(tb, 5)
	s.waitApplied(s.commitChange("before", 10))
	leader := s.leader()
	leader.disk.full = true
	return s, leader
}

// A leader with a full disk must accept nothing and lose the leadership. Once the
// disk has space again, it must catch up without a restart.
func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	s, old := newSimWithFullLeader(t)
	during := s.submit(old, setCommand("during", 11))
	c.Assert(during.err, qt.ErrorMatches, "the disk is full.*")
	refused := s.submit(old, setCommand("refused", 12))
	c.Assert(refused.err, qt.ErrorMatches, "the disk is full.*")
	after := s.commitChange("after", 13)
	c.Assert(s.leader(), qt.Not(qt.Equals), old)
	old.disk.full = false
	s.waitApplied(after)
	c.Assert(old.hasAnswer("before"), qt.IsTrue)
	c.Assert(old.hasAnswer("after"), qt.IsTrue)
}

// One control host loses its disk, rejoins as a learner and is promoted. Right
// after that, a second host loses its disk.
func TestLossRepairAndLossOfTheNext(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 6)
	s.commitChange("first", 10)
	lost := s.others(s.leader())[0]
	s.replaceDisk(lost)
	s.commitChange("second", 11)
	s.stepFor(2 * electionTimeout)
	c.Assert(lost.replica.Revision(), qt.Equals, uint64(0)) // its new identity is not a member
	name, id := lost.name, lost.engine.cfg.ID
	s.changeMembers(func(m raft.Membership) (raft.Membership, error) { return m.Remove(name) })
	s.changeMembers(func(m raft.Membership) (raft.Membership, error) {
		return m.Add(raft.Member{ID: id, Name: name, Addr: name})
	})
	s.waitApplied(s.commitChange("third", 12))
	s.changeMembers(func(m raft.Membership) (raft.Membership, error) { return m.Promote(name) })
	for _, h := range s.others(lost) {
		if h == s.leader() {
			s.replaceDisk(h) // the second lost disk is the leader's
			break
		}
	}
	s.commitChange("fourth", 13)
	c.Assert(lost.hasAnswer("first"), qt.IsTrue)
	c.Assert(lost.hasAnswer("third"), qt.IsTrue)
}

// A host that was down during 500 changes must catch up from a snapshot.
func TestHostBackAfterManyChanges(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 7)
	s.commitChange("first", 10)
	restarted := s.others(s.leader())[0]
	s.crash(restarted)
	var last uint64
	for i := range 500 {
		last = s.commitChange(string(rune(0x1000+i)), 1+i%900)
	}
	s.start(restarted)
	s.waitApplied(last)
	c.Assert(restarted.hasAnswer("first"), qt.IsTrue)
}

// A restarted host continues from the revision that it had applied, even if it
// reaches no other host.
func TestRestartedHostDoesNotRevert(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 8)
	revision := s.commitChange("change", 10)
	s.waitApplied(revision)
	s.stepFor(2 * simStep) // one tick saves the commit index
	for _, h := range s.hosts {
		s.crash(h)
	}
	alone := s.hosts[1]
	s.start(alone)
	alone.engine.process(s.now)
	c.Assert(alone.replica.Revision() >= revision, qt.IsTrue)
}

// A vote is on disk before the reply is sent.
func TestVoteSurvivesACrash(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 11)
	voter, candidate := s.hosts[1], s.hosts[2]
	vote := raft.Message{Type: raft.MsgVote, From: candidate.engine.cfg.ID, To: voter.engine.cfg.ID, Term: 7, Index: 9, LogTerm: 6}
	sent := 0
	voter.engine.send = func(string, []raft.Message) { sent++ }
	voter.engine.receive(s.now, Envelope{Addr: candidate.name, Messages: []raft.Message{vote}})
	voter.engine.process(s.now)
	c.Assert(sent, qt.Equals, 1)
	s.crash(voter)
	s.start(voter)
	c.Assert(voter.engine.hardState.Vote, qt.Equals, candidate.engine.cfg.ID)
	c.Assert(voter.engine.hardState.Term, qt.Equals, uint64(7))
}

func TestSeedIsSetOnce(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 9)
	s.waitApplied(s.commitChange("x", 10))
	seedOf := func(h *simHost) (seed uint64) {
		h.replica.Read(func(st *state.State) { seed = st.Seed })
		return seed
	}
	seed := seedOf(s.hosts[0])
	c.Assert(seed, qt.Not(qt.Equals), uint64(0))
	s.crash(s.leader())
	s.waitApplied(s.commitChange("y", 11))
	for _, h := range s.hosts {
		if h.engine != nil {
			c.Assert(seedOf(h), qt.Equals, seed)
		}
	}
}

func TestRestoreFromBackup(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 10)
	revision := s.commitChange("change", 10)
	var snap raft.Snapshot
	s.leader().replica.Read(func(st *state.State) {
		snap.Index = st.Revision
		snap.Data, _ = st.Snapshot()
	})
	h := &simHost{name: "d", disk: &memDisk{files: map[string]*memFile{}}}
	restored, err := Restore(h.disk, "d", "d", encodeBackup(snap), time.Unix(5000, 0), s.rand.Uint64)
	c.Assert(err, qt.IsNil)
	c.Assert(restored > revision+1000, qt.IsTrue)
	c.Assert(restoredRevision(revision, time.Unix(6000, 0)) > restored+1000, qt.IsTrue) // a second restore gets a higher revision
	s.hosts = []*simHost{h}
	s.start(h)
	again := s.submit(s.leader(), setCommand("change", 10))
	s.stepUntil("a result", again.known)
	c.Assert(again.result.Revision, qt.Equals, revision)
	s.commitChange("new", 11)
	_, err = Restore(&memDisk{files: map[string]*memFile{}}, "d", "d", []byte("no backup"), time.Time{}, s.rand.Uint64)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}

// appendTo returns the first append with entries that is on its way to a host.
func (s *sim) appendTo(h *simHost) (Envelope, bool) {
	for _, m := range s.inFlight {
		for _, x := range m.envelope.Messages {
			if m.to == h.name && x.Type == raft.MsgAppend && len(x.Entries) > 0 {
				return m.envelope, true
			}
		}
	}
	return Envelope{}, false
}

// Guards against entries that are acknowledged but not on the disk.
func TestNoMessageIsHandledBeforeAFailedWriteIsRepeated(t *testing.T) {
	c := qt.New(t)
	s, old := newSimWithFullLeader(t)
	for _, id := range []string{"x1", "x2", "x3"} {
		data, err := state.Encode(setCommand(id, 99))
		c.Assert(err, qt.IsNil)
		old.engine.propose(data, func(state.Result, error) {})
	}
	old.engine.process(s.now)
	var fromNext Envelope
	s.stepUntil("an append of the next leader", func() bool {
		var ok bool
		fromNext, ok = s.appendTo(old)
		return ok
	})
	s.now = max(s.now, old.engine.retryAt)
	old.engine.tick(s.now)
	old.engine.receive(s.now, fromNext)
	old.disk.full = false
	old.engine.process(s.now)
	var last uint64
	for i, id := range []string{"after1", "after2", "after3", "after4"} {
		last = s.commitChange(id, 11+i)
	}
	s.waitApplied(last)
	s.crash(old)
	s.start(old)
	s.waitApplied(s.commitChange("end", 20))
	for _, h := range s.hosts {
		for id, want := range map[string]bool{"x1": false, "x2": false, "x3": false, "after1": true, "after2": true, "after3": true, "after4": true} {
			c.Check(h.hasAnswer(id), qt.Equals, want, qt.Commentf("host %s, change %s", h.name, id))
		}
	}
}

// Guards against a host that sets a sound log aside because this version cannot decode
// what it holds.
func TestLogOfAnotherVersionIsNotDamaged(t *testing.T) {
	c := qt.New(t)
	state := &memDisk{files: map[string]*memFile{}}
	c.Assert(wal.Restore(state, 1, raft.Snapshot{Index: 5, Term: 1, Data: []byte("unknown")}), qt.IsNil)
	membership := &memDisk{files: map[string]*memFile{}}
	log, _, err := wal.Open(membership, func() raft.ID { return 1 })
	c.Assert(err, qt.IsNil)
	c.Assert(log.Save(raft.HardState{Term: 1}, []raft.Entry{{Index: 1, Term: 1, Type: raft.EntryMembership, Data: []byte("unknown")}}), qt.IsNil)
	c.Assert(log.Close(), qt.IsNil)
	for _, disk := range []*memDisk{state, membership} {
		_, err := Open(Options{Disk: disk, Replica: replica.New()})
		c.Assert(err, qt.ErrorMatches, "this version cannot read.*")
		c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable)
	}
}
