package raft

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

func TestElectionReadsLikeATrace(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, 3)
	var got []string
	cl.trace = func(m Message) {
		if m.Type != MsgHeartbeat && m.Type != MsgHeartbeatResponse {
			got = append(got, fmt.Sprintf("%d->%d %s t%d i%d n%d", m.From, m.To, m.Type, m.Term, m.Index, len(m.Entries)))
		}
	}
	cl.everywhere(2)
	c.Assert(strings.Join(got[:12], "\n"), qt.Equals, strings.TrimSpace(`
1->2 PreVote t2 i1 n0
1->3 PreVote t2 i1 n0
2->1 PreVoteResponse t2 i0 n0
3->1 PreVoteResponse t2 i0 n0
1->2 Vote t2 i1 n0
1->3 Vote t2 i1 n0
2->1 VoteResponse t2 i0 n0
3->1 VoteResponse t2 i0 n0
1->2 Append t2 i1 n1
1->3 Append t2 i1 n1
2->1 AppendResponse t2 i1 n0
3->1 AppendResponse t2 i1 n0`))
}

func TestStaleLeaderBehindPartition(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2, 5)
	old := cl.leader()
	cl.everywhere(cl.propose("before"))
	cl.side[old] = 1
	lost, err := cl.nodes[old].Propose([]byte("lost"))
	c.Assert(err, qt.IsNil)
	c.Assert(cl.nodes[old].Read(cl.now, 1), qt.IsNil) // holds its lease still
	cl.run("end of the lease", func() bool { return cl.nodes[old].Status(cl.now).LeaseLeft == 0 })
	c.Assert(cl.nodes[old].role, qt.Equals, Leader) // silent: it still believes that it leads
	c.Assert(cl.nodes[old].Read(cl.now, 2), qt.IsNil)
	cl.drain(old)
	after := cl.propose("after")
	cl.wait(4 * testElection)
	c.Assert(cl.reads[2], qt.Equals, uint64(0)) // never answered
	c.Assert(cl.nodes[old].role, qt.Not(qt.Equals), Leader)
	c.Assert(cl.nodes[old].Status(cl.now).Current, qt.IsFalse)
	c.Assert(cl.nodes[old].Status(cl.now).ContactAge > 2*testElection, qt.IsTrue)
	c.Assert(fault.KindOf(cl.nodes[old].Read(cl.now, 3)), qt.Equals, fault.NotCurrent)
	term := cl.nodes[cl.leader()].term
	cl.side[old] = 0
	cl.everywhere(after)
	c.Assert(string(cl.chosen[lost].Data), qt.Not(qt.Equals), "lost")
	c.Assert(cl.nodes[cl.leader()].term, qt.Equals, term) // the pre-vote kept the term
}

func TestFollowerOfStaleLeaderIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 3, 5)
	old := cl.leader()
	follower := old%5 + 1
	cl.side[old], cl.side[follower] = 1, 1
	cl.wait(testElection)
	st := cl.nodes[follower].Status(cl.now)
	c.Assert(st.ContactAge >= testElection, qt.IsTrue, qt.Commentf("age %v", st.ContactAge))
	c.Assert(st.Current, qt.IsFalse)
}

func TestVoterWithEmptyDiskDoesNotVote(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 4, 3)
	lead := cl.leader()
	a, b := lead%3+1, (lead+1)%3+1
	cl.side[b] = 1 // misses what is accepted next
	index := cl.propose("accepted")
	cl.crash(lead)
	cl.crash(a)
	cl.start(9, &testDisk{}) // a's host, with an empty disk
	cl.side[b] = 0
	cl.wait(20 * testElection)
	c.Assert(cl.nodes[b].role, qt.Not(qt.Equals), Leader) // else it would lose the entry
	cl.start(lead, cl.disks[lead])
	cl.appliedOn(index, b, lead)
	cl.change(func(m Membership) (Membership, error) { return m.Remove(name(a)) })
	cl.change(func(m Membership) (Membership, error) { return m.Add(Member{ID: 9, Name: name(a)}) })
	cl.everywhere(index)
	cl.change(func(m Membership) (Membership, error) { return m.Promote(name(a)) })
	cl.crash(b)
	cl.propose("with the promoted member")
}

func TestLossRepairAndLossOfTheNext(t *testing.T) {
	cl := newCluster(t, 5, 3)
	cl.compacts = true
	cl.everywhere(cl.propose("formed"))
	for round := range 6 {
		lost := ID(round%3 + 1)
		cl.crash(lost)
		var last uint64
		for i := range 30 {
			last = cl.propose(fmt.Sprintf("%d/%d", round, i))
		}
		cl.start(lost, cl.disks[lost])
		cl.everywhere(last) // by a snapshot, since the entries were compacted
	}
}

func TestMembershipRules(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 6, 3)
	lead := cl.leader()
	cl.propose("x")
	n := cl.nodes[lead]
	remove := func(m Membership) (Membership, error) { return m.Remove(name(lead)) }
	_, err := n.ProposeMembership(remove)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	add := func(id ID) func(Membership) (Membership, error) {
		return func(m Membership) (Membership, error) { return m.Add(Member{ID: id, Name: name(id)}) }
	}
	_, err = n.ProposeMembership(add(4))
	c.Assert(err, qt.IsNil)
	_, err = n.ProposeMembership(add(5))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable) // one at a time
	cl.start(4, &testDisk{})
	cl.everywhere(cl.propose("y"))
	cl.run("caught up", func() bool { return n.CaughtUp(4) })
	_, err = n.Membership().Add(Member{ID: 77, Name: name(2)})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	full := Membership{}
	for i := range ID(MaxVoters) {
		full.Members = append(full.Members, Member{ID: i + 1, Name: name(i + 1), Voter: true})
	}
	full, err = full.Add(Member{ID: 8, Name: name(8)})
	c.Assert(err, qt.IsNil)
	_, err = full.Promote(name(8))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
}

func TestTransferOnShutdown(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 7, 3)
	old := cl.leader()
	cl.propose("x")
	c.Assert(cl.nodes[old].Transfer(), qt.IsTrue)
	c.Assert(cl.nodes[old].Status(cl.now).LeaseLeft, qt.Equals, time.Duration(0))
	cl.drain(old)
	start := cl.now
	cl.run("another leader", func() bool { return cl.nodes[old].role == Follower && cl.leader() != old })
	c.Assert(cl.now-start < testElection, qt.IsTrue) // without an election timeout
}

// A hand-over that comes to nothing must not leave a leader without a lease.
func TestFailedTransferEndsInALease(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 10, 3)
	old := cl.leader()
	cl.propose("x")
	c.Assert(cl.nodes[old].Transfer(), qt.IsTrue)
	r, _ := cl.nodes[old].Ready() // its messages are lost
	cl.disks[old].save(r)
	cl.nodes[old].Advance(r)
	start := cl.now
	cl.wait(testElection)
	cl.leader()
	c.Assert(cl.now-start < 2*testElection, qt.IsTrue)
	cl.propose("y")
}

// A snapshot that matches the log must not drop the entries after it, which
// may have counted for a quorum.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 8, 3)
	cl.leader()
	cl.everywhere(cl.propose("x"))
	n := cl.nodes[2]
	entries := []Entry{{Index: n.log.last() + 1, Term: n.term}, {Index: n.log.last() + 2, Term: n.term}}
	prev := n.log.last()
	n.Step(cl.now, Message{Type: MsgAppend, From: n.leader, To: 2, Term: n.term, Index: prev, LogTerm: n.log.lastTerm(), Entries: entries})
	n.Step(cl.now, Message{Type: MsgSnapshot, From: n.leader, To: 2, Term: n.term, Snapshot: &Snapshot{Index: prev + 1, Term: n.term}})
	c.Assert(n.log.last(), qt.Equals, prev+2)
	c.Assert(n.log.commit, qt.Equals, prev+1)
}

func TestRestartedVoterKeepsItsPromise(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 9, 3)
	lead := cl.leader()
	cl.propose("x")
	voter, candidate := lead%3+1, (lead+1)%3+1
	cl.crash(voter)
	cl.start(voter, cl.disks[voter])
	cl.drain(voter)
	n := cl.nodes[voter]
	n.Step(cl.now, Message{Type: MsgVote, From: candidate, To: voter, Term: n.term + 5, Index: 99, LogTerm: 99})
	_, ready := n.Ready()
	c.Assert(ready, qt.IsFalse) // the leader's lease still counts on it
}
