package raft

import (
	"slices"
	"time"
)

// sendState is the mode in which a leader replicates to one member.
type sendState uint8

const (
	probing         sendState = iota // sends one append at a time until one matches
	replicating                      // pipelines appends
	sendingSnapshot                  // a snapshot is in flight
)

// progress is the replication state that a leader keeps for one member.
type progress struct {
	state          sendState
	match          uint64           // index of the last entry known to be on the member's disk
	next           uint64           // index of the next entry to send
	probeSent      bool             // probing: an append is in flight
	inflight       []inflightAppend // replicating: the unacknowledged appends, oldest first
	snapshotSentAt time.Duration
	snapshotIndex  uint64        // index of the snapshot in flight
	ackedSentAt    time.Duration // time at which the latest acknowledged message was sent
	hasAck         bool          // ackedSentAt is valid
}

// inflightAppend is an append that the member has not acknowledged.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int    // of entry data
}

func (p *progress) inflightBytes() int {
	total := 0
	for _, a := range p.inflight {
		total += a.bytes
	}
	return total
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.probeSent, p.inflight = probing, max(next, p.match+1), false, nil
}

func (p *progress) replicate() {
	p.state, p.next, p.probeSent, p.inflight = replicating, p.match+1, false, nil
}

// throttled reports whether no further append may be sent now.
func (p *progress) throttled() bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight || p.inflightBytes() >= maxInflightBytes
	}
	return true
}

// recordSent records that an append up to the given last entry was sent, with the
// given number of bytes of entry data.
func (p *progress) recordSent(last uint64, bytes int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	if last >= p.next {
		p.next = last + 1
		p.inflight = append(p.inflight, inflightAppend{last, bytes})
	}
}

// advanceMatch records that the member has all entries up to index on its disk.
// It reports whether match has advanced.
func (p *progress) advanceMatch(index uint64) bool {
	p.inflight = slices.DeleteFunc(p.inflight, func(a inflightAppend) bool { return a.last <= index })
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// syncProgress updates the progress map to the latest membership and sets this
// member's own match index.
func (n *Node) syncProgress() {
	members := n.Membership()
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range members.Members {
		if n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{next: n.log.lastIndex() + 1}
		}
	}
	if own := n.progress[n.cfg.ID]; own != nil {
		own.match = n.log.stable
	}
}

// quorumMatch returns the index of the last entry that a quorum of voters has
// on disk.
func (n *Node) quorumMatch() uint64 {
	var all []uint64
	for _, id := range n.Membership().Voters() {
		all = append(all, n.progress[id].match)
	}
	slices.Sort(all)
	return all[len(all)-n.Membership().Quorum()]
}

// lastQuorumContact returns the latest time T such that a quorum of voters,
// this member included, acknowledged messages sent at T or later. These voters
// had not voted for another leader at T. It reports false if no quorum has
// answered in this term.
func (n *Node) lastQuorumContact() (time.Duration, bool) {
	var all []time.Duration
	for _, id := range n.Membership().Voters() {
		p := n.progress[id]
		switch {
		case id == n.cfg.ID:
			all = append(all, n.now)
		case p.hasAck:
			all = append(all, p.ackedSentAt)
		}
	}
	quorum := n.Membership().Quorum()
	if len(all) < quorum {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)-quorum], true
}
