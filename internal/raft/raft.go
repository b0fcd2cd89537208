// Package raft implements the Raft consensus algorithm as a deterministic
// state machine. It has no I/O, clock or goroutines, and takes its randomness
// from the source in Config. The caller passes in messages, times and
// proposals. It then fetches Ready batches, which it persists, sends and applies
// in that order.
package raft

import (
	"math/rand/v2"
	"time"
)

// Limits of one member.
const (
	maxAppendBytes        = 512 << 10 // bytes of entry data in one message
	maxInflight           = 32        // unacknowledged appends per member
	maxInflightBytes      = 4 << 20   // bytes of entry data in the unacknowledged appends of a member
	maxUncommittedBytes   = 32 << 20  // bytes of proposals that are not yet committed; also the limit of what a Ready batch applies
	snapshotRetryInterval = 5 * time.Second
)

// Role is the role of a member in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the parameters of a member. All members must use the same
// ElectionTimeout and HeartbeatInterval.
type Config struct {
	ID                ID
	ElectionTimeout   time.Duration // minimum time without contact from a leader before an election
	HeartbeatInterval time.Duration
	Rand              *rand.Rand // randomizes the election timeouts
	// QuorumReads confirms each read with a round of heartbeats instead of a
	// lease. It is required on hosts that may be suspended, because their clocks
	// may stop meanwhile.
	QuorumReads bool
}

// Restored is the state that a member has read from its disk.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry // entries after the snapshot, without gaps
}

// Node is one member of the replicated log. It is not safe for concurrent use.
type Node struct {
	cfg             Config
	now             time.Duration
	role            Role
	term            uint64
	vote            ID
	leader          ID
	log             entryLog
	snapshot        *Snapshot     // latest snapshot; a leader sends it to members whose next entry was compacted
	persisted       HardState     // hard state as of the last Advance
	leaderContactAt time.Duration // time of the last contact with a leader
	quorumAge       time.Duration // age of the leader's quorum contact, from its latest heartbeat; 0 once this member has stepped down
	electionStart   time.Duration
	timeout         time.Duration // randomized election timeout
	votes           map[ID]bool

	// State used by a leader only.
	progress      map[ID]*progress
	leaderSince   time.Duration
	heartbeatAt   time.Duration
	round         uint64 // number of the last heartbeat round
	reads         []pendingRead
	transferee    ID            // voter that is to take over the leadership; 0 outside a transfer
	transferUntil time.Duration // time at which the transfer is aborted
	leaseRevoked  bool          // a transfer in this term allows elections before the lease expires
	uncommitted   int           // bytes of proposals in this term that are not yet committed

	// Output since the last Ready.
	receivedSnapshot *Snapshot
	messages         []Message
	readStates       []ReadState
}

// firstElectionDivisor sets how much sooner a member campaigns that has just
// started and on which no lease can rely. After all members have lost power there
// is no leader to wait for, and a leader that does work is not deposed by a
// pre-vote.
const firstElectionDivisor = 4

// New returns a member that resumes from its persisted state.
func New(cfg Config, r Restored, now time.Duration) (*Node, error) {
	n := &Node{cfg: cfg, now: now, term: r.HardState.Term, vote: r.HardState.Vote, persisted: r.HardState}
	if r.Snapshot != nil {
		n.snapshot = r.Snapshot
		n.log.reset(*r.Snapshot)
	}
	if err := n.log.append(r.Entries...); err != nil {
		return nil, err
	}
	n.log.stable = n.log.lastIndex()
	n.log.commit = max(n.log.commit, min(r.HardState.Commit, n.log.lastIndex()))
	// The member may have answered a leader just before it restarted. That
	// leader's lease relies on the answer, so this member must not vote before
	// the lease has expired.
	n.leaderContactAt = now
	n.resetElection()
	if n.term == 0 || cfg.QuorumReads {
		n.leaderContactAt = now - cfg.ElectionTimeout // no lease can rely on this member
		n.timeout /= firstElectionDivisor
	}
	n.quorumAge = cfg.ElectionTimeout
	return n, nil
}

// Tick advances the member's clock and starts elections and heartbeats that are
// due. The caller calls it several times per heartbeat interval.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if !n.Membership().IsVoter(n.cfg.ID) {
		return
	}
	soleVoter := len(n.Membership().Voters()) == 1
	if soleVoter || n.now-n.electionStart >= n.timeout {
		n.campaign(true, false)
	}
}

// Step processes a message from another member.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.cfg.ID {
		return // the message is for an earlier ID of this host, whose disk was lost
	}
	switch {
	case m.Type == MsgPreVote:
		n.handlePreVote(m)
		return
	case m.Term < n.term:
		n.rejectStaleTerm(m)
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

// rejectStaleTerm answers a leader or candidate of an earlier term with the
// current term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
	}
}

// enterTerm moves to the higher term of a message, except for granted pre-votes
// and for vote requests that it ignores. It reports whether to process the
// message.
func (n *Node) enterTerm(m Message) bool {
	switch {
	case m.Type == MsgVote && !m.Transfer && n.hasRecentLeader():
		return false // a leader's lease relies on this member not voting
	case m.Type == MsgPreVoteResponse && !m.Reject:
		return true // a granted pre-vote names the term of a future election
	}
	leader := ID(0)
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hasRecentLeader reports whether this member leads or had contact with a
// leader within the election timeout. If so, that leader may hold a lease that
// relies on this member.
func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.now-n.leaderContactAt < n.cfg.ElectionTimeout
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.vote = 0 // each term has its own vote
	}
	n.role, n.term, n.leader = Follower, term, leader
	n.progress, n.reads, n.transferee = nil, nil, 0
	n.resetElection()
}

func (n *Node) resetElection() {
	n.electionStart = n.now
	n.timeout = n.cfg.ElectionTimeout + time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
}

// observeLeader records a message from the leader of the current term.
func (n *Node) observeLeader(leader ID) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.term, leader)
	}
	n.leaderContactAt = n.now
	n.electionStart = n.now
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Membership returns the latest membership in the log, committed or not.
func (n *Node) Membership() Membership { return n.log.membership() }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Blank reports whether the member has never been part of a log: it has no term
// and no entries.
func (n *Node) Blank() bool { return n.term == 0 && n.log.lastIndex() == 0 }
