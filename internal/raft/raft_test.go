package raft

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

func TestElectionMessageSequence(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, 3)
	var got []string
	cl.trace = func(m Message) {
		if m.Type != MsgHeartbeat && m.Type != MsgHeartbeatResponse {
			got = append(got, fmt.Sprintf("%d->%d %s t%d i%d n%d", m.From, m.To, m.Type, m.Term, m.Index, len(m.Entries)))
		}
	}
	cl.waitAppliedOnAll(2)
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
	oldLeader := cl.waitForLeader()
	cl.waitAppliedOnAll(cl.propose("before"))
	cl.partition[oldLeader] = 1
	lost, err := cl.nodes[oldLeader].Propose([]byte("lost"))
	c.Assert(err, qt.IsNil)
	c.Assert(cl.nodes[oldLeader].Read(cl.now, 1), qt.IsNil) // the partitioned leader still holds its lease
	cl.waitUntil("the lease expires", func() bool { return cl.nodes[oldLeader].Status(cl.now).LeaseLeft == 0 })
	c.Assert(cl.nodes[oldLeader].role, qt.Equals, Leader) // the old leader has not detected the loss of its quorum yet
	c.Assert(cl.nodes[oldLeader].Read(cl.now, 2), qt.IsNil)
	cl.processReady(oldLeader)
	after := cl.propose("after")
	cl.advance(4 * testElectionTimeout)
	c.Assert(cl.reads[2], qt.Equals, uint64(0)) // the read was never answered
	c.Assert(cl.nodes[oldLeader].role, qt.Not(qt.Equals), Leader)
	c.Assert(cl.nodes[oldLeader].Status(cl.now).Current, qt.IsFalse)
	c.Assert(cl.nodes[oldLeader].Status(cl.now).ContactAge > 2*testElectionTimeout, qt.IsTrue)
	c.Assert(fault.KindOf(cl.nodes[oldLeader].Read(cl.now, 3)), qt.Equals, fault.NotCurrent)
	term := cl.nodes[cl.waitForLeader()].term
	cl.partition[oldLeader] = 0
	cl.waitAppliedOnAll(after)
	c.Assert(string(cl.committed[lost].Data), qt.Not(qt.Equals), "lost")
	c.Assert(cl.nodes[cl.waitForLeader()].term, qt.Equals, term) // the pre-vote left the term unchanged
}

func TestFollowerOfStaleLeaderIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 3, 5)
	oldLeader := cl.waitForLeader()
	follower := oldLeader%5 + 1
	cl.partition[oldLeader], cl.partition[follower] = 1, 1
	cl.advance(testElectionTimeout)
	st := cl.nodes[follower].Status(cl.now)
	c.Assert(st.ContactAge >= testElectionTimeout, qt.IsTrue, qt.Commentf("contact age %v", st.ContactAge))
	c.Assert(st.Current, qt.IsFalse)
}

func TestVoterWithEmptyDiskDoesNotVote(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 4, 3)
	leader := cl.waitForLeader()
	a, b := leader%3+1, (leader+1)%3+1
	cl.partition[b] = 1 // b misses the next entry
	index := cl.propose("accepted")
	cl.crash(leader)
	cl.crash(a)
	cl.startMember(9, &testDisk{}) // the host of member a restarts with an empty disk under a new ID
	cl.partition[b] = 0
	cl.advance(20 * testElectionTimeout)
	c.Assert(cl.nodes[b].role, qt.Not(qt.Equals), Leader) // as leader it would lose the committed entry
	cl.startMember(leader, cl.disks[leader])
	cl.waitAppliedOn(index, b, leader)
	cl.changeMembership(func(m Membership) (Membership, error) { return m.Remove(memberName(a)) })
	cl.changeMembership(func(m Membership) (Membership, error) { return m.Add(Member{ID: 9, Name: memberName(a)}) })
	cl.waitAppliedOnAll(index)
	cl.changeMembership(func(m Membership) (Membership, error) { return m.Promote(memberName(a)) })
	cl.crash(b)
	cl.propose("with the promoted member")
}

// Members crash one after the other. The others compact the entries that each one
// misses, so it must catch up from a snapshot after its restart.
func TestLossRepairAndLossOfTheNext(t *testing.T) {
	cl := newCluster(t, 5, 3)
	cl.compactLogs = true
	cl.waitAppliedOnAll(cl.propose("formed"))
	for round := range 6 {
		lost := ID(round%3 + 1)
		cl.crash(lost)
		var last uint64
		for i := range 30 {
			last = cl.propose(fmt.Sprintf("%d/%d", round, i))
		}
		cl.startMember(lost, cl.disks[lost])
		cl.waitAppliedOnAll(last)
	}
}

func TestMembershipRules(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 6, 3)
	leader := cl.waitForLeader()
	cl.propose("x")
	n := cl.nodes[leader]
	remove := func(m Membership) (Membership, error) { return m.Remove(memberName(leader)) }
	_, err := n.ProposeMembership(remove)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	add := func(id ID) func(Membership) (Membership, error) {
		return func(m Membership) (Membership, error) { return m.Add(Member{ID: id, Name: memberName(id)}) }
	}
	_, err = n.ProposeMembership(add(4))
	c.Assert(err, qt.IsNil)
	_, err = n.ProposeMembership(add(5))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable) // one uncommitted change at a time
	cl.startMember(4, &testDisk{})
	cl.waitAppliedOnAll(cl.propose("y"))
	cl.waitUntil("learner has caught up", func() bool { return n.CaughtUp(4) })
	_, err = n.Membership().Add(Member{ID: 77, Name: memberName(2)})
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	full := Membership{}
	for i := range ID(MaxVoters) {
		full.Members = append(full.Members, Member{ID: i + 1, Name: memberName(i + 1), Voter: true})
	}
	full, err = full.Add(Member{ID: 8, Name: memberName(8)})
	c.Assert(err, qt.IsNil)
	_, err = full.Promote(memberName(8))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Invalid)
}

func TestTransferSkipsElectionTimeout(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 7, 3)
	oldLeader := cl.waitForLeader()
	cl.propose("x")
	c.Assert(cl.nodes[oldLeader].Transfer(), qt.IsTrue)
	c.Assert(cl.nodes[oldLeader].Status(cl.now).LeaseLeft, qt.Equals, time.Duration(0))
	cl.processReady(oldLeader)
	start := cl.now
	cl.waitUntil("another member leads", func() bool { return cl.nodes[oldLeader].role == Follower && cl.waitForLeader() != oldLeader })
	c.Assert(cl.now-start < testElectionTimeout, qt.IsTrue) // the transferee did not wait for an election timeout
}

// After a leadership transfer that fails, a leader with a lease must exist
// again within two election timeouts.
func TestLeaderRegainsLeaseAfterFailedTransfer(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 10, 3)
	oldLeader := cl.waitForLeader()
	cl.propose("x")
	c.Assert(cl.nodes[oldLeader].Transfer(), qt.IsTrue)
	r, _ := cl.nodes[oldLeader].Ready() // the messages of this batch are lost
	cl.disks[oldLeader].save(r)
	cl.nodes[oldLeader].Advance(r)
	start := cl.now
	cl.advance(testElectionTimeout)
	cl.waitForLeader()
	c.Assert(cl.now-start < 2*testElectionTimeout, qt.IsTrue)
	cl.propose("y")
}

// A snapshot that matches the log must not drop the entries after it: they were
// acknowledged and may have been counted towards a quorum.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 8, 3)
	cl.waitForLeader()
	cl.waitAppliedOnAll(cl.propose("x"))
	n := cl.nodes[2]
	entries := []Entry{{Index: n.log.lastIndex() + 1, Term: n.term}, {Index: n.log.lastIndex() + 2, Term: n.term}}
	prev := n.log.lastIndex()
	n.Step(cl.now, Message{Type: MsgAppend, From: n.leader, To: 2, Term: n.term, Index: prev, LogTerm: n.log.lastTerm(), Entries: entries})
	n.Step(cl.now, Message{Type: MsgSnapshot, From: n.leader, To: 2, Term: n.term, Snapshot: &Snapshot{Index: prev + 1, Term: n.term}})
	c.Assert(n.log.lastIndex(), qt.Equals, prev+2)
	c.Assert(n.log.commit, qt.Equals, prev+1)
}

func TestRestartedVoterHonorsLease(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 9, 3)
	leader := cl.waitForLeader()
	cl.propose("x")
	voter, candidate := leader%3+1, (leader+1)%3+1
	cl.crash(voter)
	cl.startMember(voter, cl.disks[voter])
	cl.processReady(voter)
	n := cl.nodes[voter]
	n.Step(cl.now, Message{Type: MsgVote, From: candidate, To: voter, Term: n.term + 5, Index: 99, LogTerm: 99})
	_, ready := n.Ready()
	c.Assert(ready, qt.IsFalse) // the leader's lease may still rely on this voter
}
