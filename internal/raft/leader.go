package raft

import (
	"time"

	"greengagequay/internal/fault"
)

// leaseMarginDivisor sets how much shorter the lease is than the election
// timeout: by one tenth, since the members' clocks may run at different rates.
const leaseMarginDivisor = 10

func (n *Node) tickLeader() {
	contact, ok := n.lastQuorumContact()
	if !ok {
		contact = n.leaderSince
	}
	if n.now-contact >= n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, 0) // steps down: no contact with a quorum
		n.leaderContactAt, n.quorumAge = contact, 0
		return
	}
	if n.transferee != 0 && n.now >= n.transferUntil {
		n.abortTransfer()
		return
	}
	if n.now-n.heartbeatAt >= n.cfg.HeartbeatInterval {
		n.sendHeartbeats()
	}
}

// abortTransfer ends a leadership transfer that has timed out. The leader can
// regain its lease only in a new term, because MsgTimeoutNow may still reach the
// transferee in this one. The voters need not wait for the lease to expire,
// because it was this member's own and is revoked.
func (n *Node) abortTransfer() {
	n.becomeFollower(n.term, 0)
	n.campaign(false, true)
}

// sendHeartbeats sends a heartbeat round to all other members.
func (n *Node) sendHeartbeats() {
	n.heartbeatAt = n.now
	n.round++
	age := n.contactAge()
	for _, m := range n.Membership().Members {
		if m.ID == n.cfg.ID {
			continue
		}
		p := n.progress[m.ID]
		if p.state == sendingSnapshot && n.now-p.snapshotSentAt >= snapshotRetryInterval {
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
	n.observeLeader(m.From)
	n.quorumAge = m.QuorumAge
	n.commitTo(m.Commit) // the leader sends at most this member's match index
	n.send(Message{Type: MsgHeartbeatResponse, To: m.From, Round: m.Round, Sent: m.Sent})
}

func (n *Node) handleHeartbeatResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordAck(p, m)
	n.ackReads(m.From, m.Round)
	p.probeSent = false
	if p.state == replicating && len(p.inflight) > 0 && p.throttled() {
		p.inflight = p.inflight[1:] // the oldest unacknowledged append may be lost
	}
	if p.match < n.log.lastIndex() {
		n.sendAppend(m.From, true)
	}
}

// recordAck records the send time of a message that the member has
// acknowledged. The member had not voted for another leader at that time.
func (n *Node) recordAck(p *progress, m Message) {
	if !p.hasAck || m.Sent > p.ackedSentAt {
		p.ackedSentAt, p.hasAck = m.Sent, true
	}
}

// contactAge returns the time since the last contact with a quorum. A follower
// derives it from the leader's heartbeats.
func (n *Node) contactAge() time.Duration {
	if n.role != Leader {
		return n.now - n.leaderContactAt + n.quorumAge
	}
	contact, ok := n.lastQuorumContact()
	if !ok {
		return n.now - n.leaderSince + n.cfg.ElectionTimeout
	}
	return n.now - contact
}

// holdsLease reports whether this member holds a lease, so that no other leader
// can have been elected by now. The lease relies on a quorum that does not vote
// until the election timeout has passed.
func (n *Node) holdsLease() bool { return n.leaseLeft() > 0 }

// leaseLeft returns the remaining time of the lease, or 0 if this member holds
// none.
func (n *Node) leaseLeft() time.Duration {
	if n.role != Leader || n.leaseRevoked || n.cfg.QuorumReads {
		return 0
	}
	contact, ok := n.lastQuorumContact()
	if !ok {
		return 0
	}
	lease := n.cfg.ElectionTimeout - n.cfg.ElectionTimeout/leaseMarginDivisor
	return max(0, contact+lease-n.now)
}

// ProposeMembership appends a change of one member and returns its index. At
// most one change may be uncommitted, so that quorums of successive
// memberships always share a voter. An entry of the current term must be
// committed first, because an earlier leader may have appended a change that
// this leader does not know.
func (n *Node) ProposeMembership(change func(Membership) (Membership, error)) (uint64, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	committed, _ := n.log.term(n.log.commit)
	if committed != n.term || n.log.membershipIndex() > n.log.commit {
		return 0, fault.New(fault.Unavailable, "send the change again in a second", "another membership change is not committed yet")
	}
	next, err := change(n.Membership())
	if err != nil {
		return 0, err
	}
	if !next.IsVoter(n.cfg.ID) {
		return 0, fault.New(fault.Conflict, "transfer the leadership first", "the leader cannot remove itself")
	}
	n.appendEntry(EntryMembership, EncodeMembership(next))
	n.syncProgress()
	n.sendAppends()
	return n.log.lastIndex(), nil
}

// CaughtUp reports whether a member has all committed entries and answered the
// leader within the election timeout. Promoting such a learner does not delay
// commits.
func (n *Node) CaughtUp(id ID) bool {
	p := n.progress[id]
	return n.role == Leader && p != nil && p.match >= n.log.commit && p.hasAck && n.now-p.ackedSentAt < n.cfg.ElectionTimeout
}

// Transfer starts a leadership transfer to the reachable voter with the most
// complete log. It reports whether there is such a voter. The leader rejects
// proposals until the other voter leads or the election timeout has passed.
func (n *Node) Transfer() bool {
	if n.role != Leader {
		return false
	}
	var best ID
	for _, id := range n.Membership().Voters() {
		p := n.progress[id]
		live := p.hasAck && n.now-p.ackedSentAt < n.cfg.ElectionTimeout
		if id != n.cfg.ID && live && (best == 0 || p.match > n.progress[best].match) {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	n.transferee, n.transferUntil = best, n.now+n.cfg.ElectionTimeout
	n.leaseRevoked = true // the transferee's election does not wait for the lease to expire
	n.maybeTransfer(best, n.progress[best])
	n.sendAppend(best, true)
	return true
}

// maybeTransfer asks the transferee to start its election once its log is
// complete.
func (n *Node) maybeTransfer(id ID, p *progress) {
	if id == n.transferee && p.match == n.log.lastIndex() {
		n.send(Message{Type: MsgTimeoutNow, To: id})
	}
}
