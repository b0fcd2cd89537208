package raft

import "time"

// Campaign starts an election without waiting for a timeout.
func (n *Node) Campaign(now time.Duration) {
	n.now = max(n.now, now)
	if n.role != Leader {
		n.campaign(true, false)
	}
}

// campaign starts an election. A pre-vote asks first whether an election could
// be won, so that a member that was cut off does not disturb a working leader
// by a higher term.
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
		n.send(Message{Type: typ, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: transfer})
	}
	n.count(n.cfg.ID, true)
}

func (n *Node) handlePreVote(m Message) {
	switch {
	case m.Term <= n.term, n.hearsLeader(), !n.log.upToDate(m.Index, m.LogTerm):
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true})
	default:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Term: m.Term})
	}
}

func (n *Node) handleVote(m Message) {
	free := n.vote == m.From || n.vote == 0 && n.leader == 0
	if !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Type: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	n.vote = m.From // persisted before the response is sent
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
		return // of an earlier campaign
	}
	n.count(m.From, !m.Reject)
}

// count counts a vote and acts once a quorum has decided.
func (n *Node) count(from ID, granted bool) {
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
	n.leaseGivenUp = false
	n.syncProgress()
	// Entries of earlier terms count as committed only through an entry of this
	// term, so there has to be one.
	n.appendOwn(EntryCommand, nil)
	n.beat()
	n.sendAppends()
}
