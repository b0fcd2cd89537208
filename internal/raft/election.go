package raft

import "time"

// Campaign starts an election without waiting for the election timeout. It does
// nothing on a leader.
func (n *Node) Campaign(now time.Duration) {
	n.now = max(n.now, now)
	if n.role != Leader {
		n.campaign(true, false)
	}
}

// campaign starts an election. With pre it first asks by a pre-vote whether the
// election could be won, so that a member that returns from a partition does not
// depose a working leader by its higher term. With transfer the voters do not
// wait for the leader's lease to expire.
func (n *Node) campaign(pre, transfer bool) {
	if !n.Membership().IsVoter(n.cfg.ID) {
		return
	}
	n.leader = 0
	n.votes = map[ID]bool{}
	n.resetElection()
	term := n.term + 1
	typ := MsgPreVote
	n.role = PreCandidate
	if !pre {
		typ = MsgVote
		n.role, n.term, n.vote = Candidate, term, n.cfg.ID
	}
	for _, id := range n.Membership().Voters() {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: typ, To: id, Term: term, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer})
	}
	n.recordVote(n.cfg.ID, true)
}

func (n *Node) handlePreVote(m Message) {
	switch {
	case m.Term <= n.term, n.hasRecentLeader(), !n.log.upToDate(m.Index, m.LogTerm):
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	default:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term})
	}
}

func (n *Node) handleVote(m Message) {
	mayVote := n.vote == m.From || n.vote == 0 && n.leader == 0
	if !mayVote || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	n.vote = m.From // the caller persists the vote before it sends the response
	n.resetElection()
	n.send(Message{Type: MsgVoteResponse, To: m.From})
}

func (n *Node) handleVoteResponse(m Message) {
	switch {
	case m.Type == MsgPreVoteResponse && n.role != PreCandidate:
		return
	case m.Type == MsgVoteResponse && n.role != Candidate:
		return
	case m.Type == MsgPreVoteResponse && !m.Reject && m.Term != n.term+1:
		return // the response belongs to an earlier pre-vote
	}
	n.recordVote(m.From, !m.Reject)
}

// recordVote records the first answer of a voter. The election or pre-vote is won
// once a quorum has granted its votes, and lost once a quorum has rejected.
func (n *Node) recordVote(from ID, granted bool) {
	if _, seen := n.votes[from]; !seen {
		n.votes[from] = granted
	}
	won, lost := 0, 0
	for _, id := range n.Membership().Voters() {
		granted, answered := n.votes[id]
		switch {
		case answered && granted:
			won++
		case answered:
			lost++
		}
	}
	quorum := n.Membership().Quorum()
	switch {
	case won >= quorum && n.role == PreCandidate:
		n.campaign(false, false)
	case won >= quorum:
		n.becomeLeader()
	case lost >= quorum:
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.leaderSince, n.heartbeatAt = n.now, n.now
	n.progress = map[ID]*progress{}
	n.reads, n.transferee, n.uncommitted = nil, 0, 0
	n.leaseRevoked = false
	n.syncProgress()
	// Entries of earlier terms are committed only through an entry of this term,
	// so the leader appends a no-op.
	n.appendEntry(EntryCommand, nil)
	n.sendHeartbeats()
	n.sendAppends()
}
