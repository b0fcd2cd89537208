package raft

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newTestNode returns member 1 of 3 in the given term. Its log holds the
// membership entry, followed by entries of the given terms.
func newTestNode(c *qt.C, term uint64, terms ...uint64) *Node {
	m := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	entries := []Entry{{Index: 1, Term: 1, Type: EntryMembership, Data: EncodeMembership(m)}}
	for i, t := range terms {
		entries = append(entries, Entry{Index: uint64(i + 2), Term: t})
	}
	cfg := Config{ID: 1, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeat, Rand: rand.New(rand.NewPCG(1, 1))}
	n, err := New(cfg, Restored{HardState: HardState{Term: term}, Entries: entries}, 0)
	c.Assert(err, qt.IsNil)
	return n
}

// stepAndCollect passes a message to member 1 and returns the messages that the
// member sends in response. The message arrives two election timeouts after the
// member's start, when the member may vote again.
func stepAndCollect(n *Node, m Message) []Message {
	m.To = 1
	n.Step(2*testElectionTimeout, m)
	r, _ := n.Ready()
	n.Advance(r)
	return r.Messages
}

func TestVotes(t *testing.T) {
	for _, test := range []struct {
		about  string
		m      Message
		reject bool
	}{
		{"same log", Message{Type: MsgVote, Term: 4, Index: 3, LogTerm: 3}, false},
		{"longer log", Message{Type: MsgVote, Term: 4, Index: 9, LogTerm: 3}, false},
		{"shorter log", Message{Type: MsgVote, Term: 4, Index: 2, LogTerm: 3}, true},
		{"longer log of an earlier term", Message{Type: MsgVote, Term: 4, Index: 9, LogTerm: 2}, true},
		{"shorter log of a later term", Message{Type: MsgVote, Term: 5, Index: 1, LogTerm: 4}, false},
		{"earlier term", Message{Type: MsgVote, Term: 2, Index: 9, LogTerm: 9}, true},
		{"shorter log, transfer", Message{Type: MsgVote, Term: 4, Index: 2, LogTerm: 3, Transfer: true}, true},
		{"pre-vote, same log", Message{Type: MsgPreVote, Term: 4, Index: 3, LogTerm: 3}, false},
		{"pre-vote, shorter log", Message{Type: MsgPreVote, Term: 4, Index: 2, LogTerm: 3}, true},
		{"pre-vote, current term", Message{Type: MsgPreVote, Term: 3, Index: 9, LogTerm: 3}, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			test.m.From = 2
			got := stepAndCollect(newTestNode(c, 3, 2, 3), test.m)
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Reject, qt.Equals, test.reject)
		})
	}
}

// A message for the earlier ID of a host that lost its disk must be ignored.
func TestMessageForAnotherIDIsIgnored(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3)
	n.Step(2*testElectionTimeout, Message{Type: MsgVote, From: 2, To: 99, Term: 4, Index: 9, LogTerm: 3})
	r, _ := n.Ready()
	c.Assert(r.Messages, qt.HasLen, 0)
	c.Assert(r.HardState.Term, qt.Equals, uint64(3))
}

func TestOneVotePerTerm(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3)
	vote := Message{Type: MsgVote, From: 2, Term: 4, Index: 9, LogTerm: 3}
	c.Assert(stepAndCollect(n, vote)[0].Reject, qt.IsFalse)
	c.Assert(stepAndCollect(n, vote)[0].Reject, qt.IsFalse) // a repeated request of the same candidate
	vote.From = 3
	c.Assert(stepAndCollect(n, vote)[0].Reject, qt.IsTrue)
}

// An entry of an earlier term must not be committed just because a quorum holds
// it: a later leader could still replace it.
func TestQuorumAloneDoesNotCommitEarlierTerm(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3, 2)
	n.Tick(2 * testElectionTimeout)
	stepAndCollect(n, Message{Type: MsgPreVoteResponse, From: 2, Term: 4})
	stepAndCollect(n, Message{Type: MsgVoteResponse, From: 2, Term: 4})
	c.Assert(n.role, qt.Equals, Leader)
	stepAndCollect(n, Message{Type: MsgAppendResponse, From: 2, Term: 4, Index: 2})
	c.Assert(n.log.commit, qt.Equals, uint64(0))
	stepAndCollect(n, Message{Type: MsgAppendResponse, From: 2, Term: 4, Index: 3})
	c.Assert(n.log.commit, qt.Equals, uint64(3))
}

// A follower must commit only entries that are known to match the leader's log.
func TestFollowerCommitsOnlyMatchingEntries(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3, 2, 3, 3)
	stepAndCollect(n, Message{Type: MsgAppend, From: 2, Term: 4, Index: 1, LogTerm: 1, Commit: 9, Entries: []Entry{{Index: 2, Term: 2}}})
	c.Assert(n.log.commit, qt.Equals, uint64(2))
	c.Assert(n.log.lastIndex(), qt.Equals, uint64(4)) // a delayed append does not truncate the log
}

func TestRejectedAppendReturnsConflictHint(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 5, 2, 4, 4, 4)
	got := stepAndCollect(n, Message{Type: MsgAppend, From: 2, Term: 6, Index: 9, LogTerm: 3})
	c.Assert(got[0].Reject, qt.IsTrue)
	c.Assert(got[0].Hint, qt.Equals, uint64(2)) // skips all entries of term 4
}

// Guards against a blank member that must receive many times the size of the snapshot.
func TestCompactKeepsNoMoreThanTheSnapshotHolds(t *testing.T) {
	const documentBytes = 1 << 20
	tests := []struct {
		name           string
		entryBytes     int
		snapshotBytes  int
		kept, trailing uint64
	}{
		{"large entries", documentBytes, documentBytes, maxInflightBytes / documentBytes, 50},
		{"a large snapshot", documentBytes, 10 * documentBytes, 10, 50},
		{"small entries", 100, documentBytes, 50, 50},
		{"small entries and a small snapshot", 100, 100, 50, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newTestNode(c, 3)
			for index := uint64(2); index <= 80; index++ {
				e := Entry{Index: index, Term: 3, Data: make([]byte, tt.entryBytes)}
				n.Step(2*testElectionTimeout, Message{
					Type: MsgAppend, From: 2, To: 1, Term: 3, Index: index - 1, LogTerm: n.log.lastTerm(), Entries: []Entry{e}, Commit: index,
				})
				for r, ok := n.Ready(); ok; r, ok = n.Ready() {
					n.Advance(r)
				}
			}
			s, err := n.Compact(make([]byte, tt.snapshotBytes), tt.trailing)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Index, qt.Equals, uint64(80))
			c.Assert(n.log.entries, qt.HasLen, int(tt.kept))
		})
	}
}

// Guards against entries that count as saved although others were saved in their place.
func TestAdvanceLeavesReplacedEntriesUnsaved(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3)
	appendOf := func(term uint64) Message {
		return Message{
			Type: MsgAppend, From: ID(term - 1), To: 1, Term: term, Index: 1, LogTerm: 1,
			Entries: []Entry{{Index: 2, Term: term}, {Index: 3, Term: term}},
		}
	}
	n.Step(2*testElectionTimeout, appendOf(3))
	first, ok := n.Ready()
	c.Assert(ok, qt.IsTrue)
	n.Step(2*testElectionTimeout, appendOf(4))
	n.Advance(first)
	second, ok := n.Ready()
	c.Assert(ok, qt.IsTrue)
	c.Assert(second.Entries, qt.HasLen, 2)
	c.Assert(second.Entries[0].Term, qt.Equals, uint64(4))
}

// Guards against a member that acknowledges entries, or saves a commit index, ahead of the
// entries that it saves with them.
func TestReadyHoldsAllThatItAcknowledges(t *testing.T) {
	c := qt.New(t)
	n := newTestNode(c, 3)
	large := make([]byte, maxUncommittedBytes*2/3)
	for i := uint64(1); i <= 3; i++ {
		n.Step(0, Message{
			Type: MsgAppend, From: 2, To: 1, Term: 3, Index: i, LogTerm: min(i*2-1, 3), Commit: i + 1,
			Entries: []Entry{{Index: i + 1, Term: 3, Data: large}},
		})
	}
	r, _ := n.Ready()
	c.Assert(r.Entries, qt.HasLen, 3)
	c.Assert(r.HardState.Commit, qt.Equals, uint64(4))
	c.Assert(r.Messages[len(r.Messages)-1].Index, qt.Equals, uint64(4))
}
