// Package raft is the core of the replicated log, in the manner of the Raft
// algorithm. It is pure: no I/O, no clock, no goroutine and no randomness but
// the source it is given. Messages, times and proposals go in; a Ready batch
// comes out, which the caller persists, sends and applies in that order.
package raft

import (
	"math/rand/v2"
	"time"
)

// Limits of one member.
const (
	maxAppendBytes      = 512 << 10 // entries in one message
	maxInflight         = 32        // appends on the way to one member
	maxUncommittedBytes = 32 << 20  // proposals that wait for a quorum
	snapshotRetryTime   = 5 * time.Second
)

// Role is what a member does in the present term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the parameters of a member. All members use the same times.
type Config struct {
	ID                ID
	ElectionTimeout   time.Duration // shortest silence of the leader before a campaign
	HeartbeatInterval time.Duration
	Rand              *rand.Rand // spreads the election timeouts
	// QuorumReads confirms each read by a round of heartbeats and holds no
	// lease. Hosts that may be suspended, so that their clocks stand still for a
	// while, need it.
	QuorumReads bool
}

// Restored is what a member finds on its disk.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // after the snapshot, without gaps
}

// Node is one member of the replicated log. It is not safe for concurrent use.
type Node struct {
	cfg           Config
	now           time.Duration
	role          Role
	term          uint64
	vote          ID
	leader        ID
	log           entryLog
	snapshot      *Snapshot // latest, for members that are far behind
	saved         HardState // as of the last Advance
	heardAt       time.Duration
	quorumAge     time.Duration // as the leader said at heardAt
	electionStart time.Duration
	timeout       time.Duration // randomized election timeout
	votes         map[ID]bool

	// State of a leader.
	progress      map[ID]*progress
	leaderSince   time.Duration
	heartbeatAt   time.Duration
	round         uint64
	reads         []pendingRead
	transferee    ID
	transferUntil time.Duration
	leaseGivenUp  bool // a transfer in this term lets others vote at any time
	uncommitted   int  // bytes of proposals in this term that are not committed

	// Output since the last Ready.
	install    *Snapshot
	messages   []Message
	readStates []ReadState
}

// New returns a member that continues from what is on its disk.
func New(cfg Config, r Restored, now time.Duration) (*Node, error) {
	n := &Node{cfg: cfg, now: now, term: r.HardState.Term, vote: r.HardState.Vote, saved: r.HardState}
	if r.Snapshot != nil {
		n.snapshot = r.Snapshot
		n.log.reset(*r.Snapshot)
	}
	if err := n.log.append(r.Entries...); err != nil {
		return nil, err
	}
	n.log.stable = n.log.last()
	n.log.commit = max(n.log.commit, min(r.HardState.Commit, n.log.last()))
	// The member may have answered a leader just before it restarted, and that
	// leader's lease counts on it: no vote before the lease has run out.
	n.heardAt = now
	if n.term == 0 || cfg.QuorumReads {
		n.heardAt = now - cfg.ElectionTimeout // no lease can count on it
	}
	n.quorumAge = cfg.ElectionTimeout
	n.resetElection()
	return n, nil
}

// Tick tells the member the time. It is called several times per heartbeat
// interval.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.Membership().IsVoter(n.cfg.ID) {
		return
	}
	alone := len(n.Membership().Voters()) == 1
	if alone || n.now-n.electionStart >= n.timeout {
		n.campaign(true, false)
	}
}

// Step takes a message from another member.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.cfg.ID {
		return // meant for the holder of a disk that was lost
	}
	switch {
	case m.Type == MsgPreVote:
		n.handlePreVote(m)
		return
	case m.Term < n.term:
		n.refuseOldTerm(m)
		return
	case m.Term > n.term && !n.enterTerm(m):
		return
	}
	switch m.Type {
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendResponse:
		n.handleAppendResponse(m)
	case MsgHeartbeatResponse:
		n.handleHeartbeatResponse(m)
	case MsgTimeoutNow:
		if n.role == Follower {
			n.campaign(false, true)
		}
	}
}

// refuseOldTerm tells a leader or candidate of an earlier term that it has
// passed.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
	}
}

// enterTerm moves to the higher term of a message. It reports whether the
// message counts.
func (n *Node) enterTerm(m Message) bool {
	switch {
	case m.Type == MsgVote && !m.Transfer && n.hearsLeader():
		return false // a leader's lease counts on this member not to vote
	case m.Type == MsgPreVoteResponse && !m.Reject:
		return true // granted for a term that nobody has entered
	}
	leader := ID(0)
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader reports whether the leader may hold a lease that counts on this
// member.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || n.now-n.heardAt < n.cfg.ElectionTimeout
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.vote = 0 // one vote in each term
	}
	n.role, n.term, n.leader = Follower, term, leader
	n.progress, n.reads, n.transferee = nil, nil, 0
	n.resetElection()
}

func (n *Node) resetElection() {
	n.electionStart = n.now
	n.timeout = n.cfg.ElectionTimeout + time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
}

// hears notes a message from the leader of this term.
func (n *Node) hears(leader ID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.heardAt = n.now
	n.electionStart = n.now
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Membership returns the membership of the latest entry.
func (n *Node) Membership() Membership { return n.log.membership() }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the present role.
func (n *Node) Role() Role { return n.role }

// Blank reports whether the member has no part in any log yet.
func (n *Node) Blank() bool { return n.term == 0 && n.log.last() == 0 }
