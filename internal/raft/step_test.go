package raft

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// member returns member 1 of 3 with entries of the given terms after the
// founding entry, and the time at which it votes.
func member(c *qt.C, term uint64, terms ...uint64) *Node {
	m := Membership{Members: []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}}
	entries := []Entry{{Index: 1, Term: 1, Type: EntryMembership, Data: EncodeMembership(m)}}
	for i, t := range terms {
		entries = append(entries, Entry{Index: uint64(i + 2), Term: t})
	}
	cfg := Config{ID: 1, ElectionTimeout: testElection, HeartbeatInterval: testBeat, Rand: rand.New(rand.NewPCG(1, 1))}
	n, err := New(cfg, Restored{HardState: HardState{Term: term}, Entries: entries}, 0)
	c.Assert(err, qt.IsNil)
	return n
}

// answers returns what the member sends in answer to a message.
func answers(n *Node, m Message) []Message {
	m.To = 1
	n.Step(2*testElection, m)
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
		{"pre-vote, present term", Message{Type: MsgPreVote, Term: 3, Index: 9, LogTerm: 3}, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			test.m.From = 2
			got := answers(member(c, 3, 2, 3), test.m)
			c.Assert(got, qt.HasLen, 1)
			c.Assert(got[0].Reject, qt.Equals, test.reject)
		})
	}
}

// A message for the holder of a lost disk is not for the one that replaced it.
func TestMessageForAnotherIdentityIsIgnored(t *testing.T) {
	c := qt.New(t)
	n := member(c, 3)
	n.Step(2*testElection, Message{Type: MsgVote, From: 2, To: 99, Term: 4, Index: 9, LogTerm: 3})
	r, _ := n.Ready()
	c.Assert(r.Messages, qt.HasLen, 0)
	c.Assert(r.HardState.Term, qt.Equals, uint64(3))
}

func TestOneVoteInATerm(t *testing.T) {
	c := qt.New(t)
	n := member(c, 3)
	vote := Message{Type: MsgVote, From: 2, Term: 4, Index: 9, LogTerm: 3}
	c.Assert(answers(n, vote)[0].Reject, qt.IsFalse)
	c.Assert(answers(n, vote)[0].Reject, qt.IsFalse) // the same candidate again
	vote.From = 3
	c.Assert(answers(n, vote)[0].Reject, qt.IsTrue)
}

// A quorum that holds an entry of an earlier term does not commit it: a
// candidate with a later term could still replace it.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	c := qt.New(t)
	n := member(c, 3, 2)
	n.Tick(2 * testElection)
	answers(n, Message{Type: MsgPreVoteResponse, From: 2, Term: 4})
	answers(n, Message{Type: MsgVoteResponse, From: 2, Term: 4})
	c.Assert(n.role, qt.Equals, Leader)
	answers(n, Message{Type: MsgAppendResponse, From: 2, Term: 4, Index: 2})
	c.Assert(n.log.commit, qt.Equals, uint64(0))
	answers(n, Message{Type: MsgAppendResponse, From: 2, Term: 4, Index: 3})
	c.Assert(n.log.commit, qt.Equals, uint64(3))
}

// A follower commits only what it knows to match the leader's log.
func TestCommitStopsAtTheMatch(t *testing.T) {
	c := qt.New(t)
	n := member(c, 3, 2, 3, 3)
	answers(n, Message{Type: MsgAppend, From: 2, Term: 4, Index: 1, LogTerm: 1, Commit: 9, Entries: []Entry{{Index: 2, Term: 2}}})
	c.Assert(n.log.commit, qt.Equals, uint64(2))
	c.Assert(n.log.last(), qt.Equals, uint64(4)) // a late append does not shorten the log
}

func TestRefusedAppendNamesWhereToGoOn(t *testing.T) {
	c := qt.New(t)
	n := member(c, 5, 2, 4, 4, 4)
	got := answers(n, Message{Type: MsgAppend, From: 2, Term: 6, Index: 9, LogTerm: 3})
	c.Assert(got[0].Reject, qt.IsTrue)
	c.Assert(got[0].Hint, qt.Equals, uint64(2)) // skips the whole of term 4
}
