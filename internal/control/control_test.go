package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// A leader that is silently cut off believes for a while that it leads.
func TestStaleLeaderAcceptsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 1)
	s.everywhere(s.accept("before", 10))
	old := s.leader()
	old.side = 1
	lost := s.submit(old, write("lost", 11))
	after := s.accept("after", 12)
	c.Assert(s.leader(), qt.Not(qt.Equals), old)
	s.until("the old leader notices", func() bool { return lost.known() })
	c.Assert(fault.KindOf(lost.err), qt.Equals, fault.OutcomeUnknown)
	refused := s.submit(old, write("refused", 13))
	c.Assert(fault.KindOf(refused.err), qt.Equals, fault.Unavailable)
	var readErr error
	old.engine.read(s.now, func(_ uint64, err error) { readErr = err })
	c.Assert(fault.KindOf(readErr), qt.Equals, fault.NotCurrent)
	st := old.engine.node.Status(s.now)
	c.Assert(st.Current, qt.IsFalse)
	old.side = 0
	s.everywhere(after)
	value, _ := old.value()
	c.Assert(value, qt.Equals, 12)
	again := s.submit(s.leader(), write("lost", 11)) // the operator sends it again
	s.until("an answer", again.known)
	c.Assert(again.result.Repeated, qt.IsFalse)
}

// A host that freezes holds no lease when it wakes, though no tick told it of
// the time.
func TestFrozenLeaderReadsNothingStale(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 2)
	s.everywhere(s.accept("before", 10))
	old := s.leader()
	frozen := old.engine
	old.engine = nil
	s.accept("after", 12)
	old.engine = frozen
	answered := false
	old.engine.read(s.now, func(_ uint64, err error) { answered = err == nil })
	old.engine.process(s.now)
	c.Assert(answered, qt.IsFalse)
	s.wait(2 * electionTimeout)
	c.Assert(answered, qt.IsFalse)
}

func TestTwoOperatorsWithOneRevision(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 3)
	base := s.accept("first", 10)
	one := s.submit(s.leader(), writeOn(base, "one", 11))
	two := s.submit(s.leader(), writeOn(base, "two", 12))
	s.until("both answers", func() bool { return one.known() && two.known() })
	c.Assert(one.result.Err == nil, qt.IsTrue)
	c.Assert(two.result.Err.Kind, qt.Equals, fault.Conflict)
	c.Assert(two.result.Changed, qt.HasLen, 1)
	c.Assert(two.result.Changed[0].ID, qt.Equals, "one")
}

// The answer is lost with the leader; the resend goes to the next leader, and
// then again after a restart of all hosts and after snapshots.
func TestLostAnswerAndResend(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 4)
	first := s.accept("change", 10)
	s.crash(s.leader())
	again := s.submit(s.leader(), write("change", 10))
	s.until("an answer", again.known)
	c.Assert(again.result.Revision, qt.Equals, first)
	c.Assert(again.result.Repeated, qt.IsTrue)
	for i := range 100 {
		s.accept(string(rune('A'+i)), 100+i)
	}
	for _, h := range s.hosts {
		s.crash(h)
		s.start(h)
	}
	again = s.submit(s.leader(), write("change", 10))
	s.until("an answer", again.known)
	c.Assert(again.result.Revision, qt.Equals, first)
}

func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 5)
	s.everywhere(s.accept("before", 10))
	old := s.leader()
	old.disk.full = true
	during := s.submit(old, write("during", 11))
	c.Assert(during.err, qt.ErrorMatches, "the disk is full.*")
	refused := s.submit(old, write("refused", 12))
	c.Assert(refused.err, qt.ErrorMatches, "the disk is full.*")
	after := s.accept("after", 13)
	c.Assert(s.leader(), qt.Not(qt.Equals), old)
	old.disk.full = false
	s.everywhere(after)
	c.Assert(old.answered("before"), qt.IsTrue)
	c.Assert(old.answered("after"), qt.IsTrue)
}

// Loss of one control host with its disk, repair as a learner, and loss of the
// next right after.
func TestLossRepairAndLossOfTheNext(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 6)
	s.accept("first", 10)
	lost := s.others(s.leader())[0]
	s.wipe(lost)
	s.accept("second", 11)
	s.wait(2 * electionTimeout)
	c.Assert(lost.replica.Revision(), qt.Equals, uint64(0)) // no part under its new identity
	name, id := lost.name, lost.engine.cfg.ID
	s.member(func(m raft.Membership) (raft.Membership, error) { return m.Remove(name) })
	s.member(func(m raft.Membership) (raft.Membership, error) {
		return m.Add(raft.Member{ID: id, Name: name, Addr: name})
	})
	s.everywhere(s.accept("third", 12))
	s.member(func(m raft.Membership) (raft.Membership, error) { return m.Promote(name) })
	for _, h := range s.others(lost) {
		if h == s.leader() {
			s.wipe(h) // the next loss takes the leader
			break
		}
	}
	s.accept("fourth", 13)
	c.Assert(lost.answered("first"), qt.IsTrue)
	c.Assert(lost.answered("third"), qt.IsTrue)
}

func TestHostBackAfterManyChanges(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 7)
	s.accept("first", 10)
	back := s.others(s.leader())[0]
	s.crash(back)
	var last uint64
	for i := range 500 {
		last = s.accept(string(rune(0x1000+i)), 1+i%900)
	}
	s.start(back)
	s.everywhere(last)
	c.Assert(back.answered("first"), qt.IsTrue)
}

// A restarted host goes on from the revision that it had in force, also when
// it reaches nobody.
func TestRestartedHostDoesNotRevert(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 8)
	revision := s.accept("change", 10)
	s.everywhere(revision)
	s.wait(2 * simStep) // one tick saves the commit
	for _, h := range s.hosts {
		s.crash(h)
	}
	alone := s.hosts[1]
	s.start(alone)
	alone.engine.process(s.now)
	c.Assert(alone.replica.Revision() >= revision, qt.IsTrue)
}

// A vote is on disk before its answer is sent.
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
	c.Assert(voter.engine.hard.Vote, qt.Equals, candidate.engine.cfg.ID)
	c.Assert(voter.engine.hard.Term, qt.Equals, uint64(7))
}

func TestSeedIsSetOnce(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 9)
	s.everywhere(s.accept("x", 10))
	seedOf := func(h *simHost) (seed uint64) {
		h.replica.Read(func(st *state.State) { seed = st.Seed })
		return seed
	}
	seed := seedOf(s.hosts[0])
	c.Assert(seed, qt.Not(qt.Equals), uint64(0))
	s.crash(s.leader())
	s.everywhere(s.accept("y", 11))
	for _, h := range s.hosts {
		if h.engine != nil {
			c.Assert(seedOf(h), qt.Equals, seed)
		}
	}
}

func TestRestoreFromBackup(t *testing.T) {
	c := qt.New(t)
	s := newSim(t, 10)
	revision := s.accept("change", 10)
	var snap raft.Snapshot
	s.leader().replica.Read(func(st *state.State) {
		snap.Index = st.Revision
		snap.Data, _ = st.Snapshot()
	})
	h := &simHost{name: "d", disk: &memDisk{files: map[string]*memFile{}}}
	restored, err := Restore(h.disk, "d", "d", encodeBackup(snap), time.Unix(5000, 0), s.rand.Uint64)
	c.Assert(err, qt.IsNil)
	c.Assert(restored > revision+1000, qt.IsTrue)
	c.Assert(restoredRevision(revision, time.Unix(6000, 0)) > restored+1000, qt.IsTrue) // a second restore
	s.hosts = []*simHost{h}
	s.start(h)
	again := s.submit(s.leader(), write("change", 10))
	s.until("an answer", again.known)
	c.Assert(again.result.Revision, qt.Equals, revision)
	s.accept("new", 11)
	_, err = Restore(&memDisk{files: map[string]*memFile{}}, "d", "d", []byte("no backup"), time.Time{}, s.rand.Uint64)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}
