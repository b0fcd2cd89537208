package raft

import (
	"time"

	"greengagequay/internal/fault"
)

// leaseMargin is the part of the election timeout by which clocks of members
// may differ in rate, as a divisor.
const leaseMargin = 10

func (n *Node) tickLeader() {
	contact, ok := n.quorumAcked()
	if !ok {
		contact = n.leaderSince
	}
	if n.now-contact >= n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, 0) // cut off from a quorum
		n.heardAt, n.quorumAge = contact, 0
		return
	}
	if n.transferee != 0 && n.now >= n.transferUntil {
		n.reclaim()
		return
	}
	if n.now-n.heartbeatAt >= n.cfg.HeartbeatInterval {
		n.beat()
	}
}

// reclaim ends a hand-over that came to nothing. Only a new term gives back
// the lease, since the request to campaign may still arrive in this one. The
// voters need not wait for the lease to run out: it is this member's own.
func (n *Node) reclaim() {
	n.becomeFollower(n.term, 0)
	n.campaign(false, true)
}

// beat sends a round of heartbeats.
func (n *Node) beat() {
	n.heartbeatAt = n.now
	n.round++
	age := n.contactAge()
	for _, m := range n.Membership().Members {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.progress[m.ID]
		if p.state == installing && n.now-p.installAt >= snapshotRetryTime {
			p.probe(p.match + 1)
		}
		n.send(Message{
			Type: MsgHeartbeat, To: m.ID, Commit: min(p.match, n.log.commit),
			Round: n.round, Sent: n.now, QuorumAge: age,
		})
	}
	n.answerReads()
}

func (n *Node) handleHeartbeat(m Message) {
	n.hears(m.From)
	n.quorumAge = m.QuorumAge
	n.commitTo(m.Commit) // at most what this member is known to match
	n.send(Message{Type: MsgHeartbeatResponse, To: m.From, Round: m.Round, Sent: m.Sent})
}

func (n *Node) handleHeartbeatResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.acked(p, m)
	n.ackReads(m.From, m.Round)
	p.paused = false
	if p.state == replicating && len(p.inflight) > 0 && p.full() {
		p.inflight = p.inflight[1:] // the oldest append may be lost
	}
	if p.match < n.log.last() {
		n.sendAppend(m.From, true)
	}
}

// acked notes that a member had not voted for another leader when it answered
// a message of the given time.
func (n *Node) acked(p *progress, m Message) {
	if !p.answered || m.Sent > p.acked {
		p.acked, p.answered = m.Sent, true
	}
}

// contactAge returns the time since a quorum was last in contact.
func (n *Node) contactAge() time.Duration {
	if n.role != Leader {
		return n.now - n.heardAt + n.quorumAge
	}
	contact, ok := n.quorumAcked()
	if !ok {
		return n.now - n.leaderSince + n.cfg.ElectionTimeout
	}
	return n.now - contact
}

// holdsLease reports whether no other leader can have been elected by now: a
// quorum has promised not to vote until the election timeout has passed.
func (n *Node) holdsLease() bool { return n.leaseLeft() > 0 }

// leaseLeft returns for how long the lease holds if no quorum answers again.
func (n *Node) leaseLeft() time.Duration {
	if n.role != Leader || n.leaseGivenUp || n.cfg.QuorumReads {
		return 0
	}
	contact, ok := n.quorumAcked()
	if !ok {
		return 0
	}
	lease := n.cfg.ElectionTimeout - n.cfg.ElectionTimeout/leaseMargin
	return max(0, contact+lease-n.now)
}

// ProposeMembership appends a change of one member. There is at most one
// change in flight, so that the quorums of two successive memberships always
// share a voter.
func (n *Node) ProposeMembership(change func(Membership) (Membership, error)) (uint64, error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	committed, _ := n.log.term(n.log.commit)
	if committed != n.term || n.log.membershipFrom() > n.log.commit {
		return 0, fault.New(fault.Unavailable, "send it again in a second", "another change of members is not committed yet")
	}
	next, err := change(n.Membership())
	if err != nil {
		return 0, err
	}
	if !next.IsVoter(n.cfg.ID) {
		return 0, fault.New(fault.Conflict, "hand over the leadership first", "the leader cannot remove itself")
	}
	n.appendOwn(EntryMembership, EncodeMembership(next))
	n.syncProgress()
	n.sendAppends()
	return n.log.last(), nil
}

// CaughtUp reports whether a learner has all committed entries, so that it can
// be promoted without a pause in commits.
func (n *Node) CaughtUp(id ID) bool {
	p := n.progress[id]
	return n.role == Leader && p != nil && p.match >= n.log.commit && p.answered && n.now-p.acked < n.cfg.ElectionTimeout
}

// Transfer hands the leadership to another voter, the one with the most
// complete log. It reports whether there is one. No proposals are taken until
// the other voter leads or the election timeout has passed.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	var best ID
	for _, id := range n.Membership().Voters() {
		p := n.progress[id]
		live := p.answered && n.now-p.acked < n.cfg.ElectionTimeout
		if id != n.cfg.ID && live && (best == 0 || p.match > n.progress[best].match) {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	n.transferee, n.transferUntil = best, n.now+n.cfg.ElectionTimeout
	n.leaseGivenUp = true // the other's campaign does not wait for the lease
	n.maybeTransfer(best, n.progress[best])
	n.sendAppend(best, true)
	return true
}

// maybeTransfer tells the chosen voter to campaign once its log is complete.
func (n *Node) maybeTransfer(id ID, p *progress) {
	if id == n.transferee && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
