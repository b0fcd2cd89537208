package raft

import (
	"slices"
	"time"
)

// sendState tells how a leader sends entries to one member.
type sendState uint8

const (
	probing     sendState = iota // one append at a time, until one matches
	replicating                  // appends follow each other without waiting
	installing                   // a snapshot is on its way
)

// progress is what a leader knows about one member.
type progress struct {
	state     sendState
	match     uint64 // last entry known to be on the member's disk
	next      uint64 // next entry to send
	paused    bool   // probing: an append is on its way
	inflight  []uint64
	installAt time.Duration // when the snapshot was sent
	installed uint64        // index of that snapshot
	acked     time.Duration // time at which the last answered message was sent
	answered  bool          // acked is set
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.paused, p.inflight = probing, max(next, p.match+1), false, nil
}

func (p *progress) replicate() {
	p.state, p.next, p.paused, p.inflight = replicating, p.match+1, false, nil
}

// full reports whether nothing may be sent now.
func (p *progress) full() bool {
	switch p.state {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// sent notes an append up to the given last entry.
func (p *progress) sent(last uint64) {
	if p.state == probing {
		p.paused = true
		return
	}
	if last >= p.next {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// matched notes that the member has all entries up to index on its disk. It
// reports whether that is news.
func (p *progress) matched(index uint64) bool {
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= index })
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

// syncProgress follows a change of the membership.
func (n *Node) syncProgress() {
	members := n.Membership()
	for id := range n.progress {
		if _, ok := members.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	for _, m := range members.Members {
		if n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{next: n.log.last() + 1}
		}
	}
	if own := n.progress[n.cfg.ID]; own != nil {
		own.match = n.log.stable
	}
}

// quorumMatch returns the last entry that a quorum of voters has on disk.
func (n *Node) quorumMatch() uint64 {
	var all []uint64
	for _, id := range n.Membership().Voters() {
		all = append(all, n.progress[id].match)
	}
	slices.Sort(all)
	return all[len(all)-n.Membership().Quorum()]
}

// quorumAcked returns the time since which a quorum of voters has not voted
// for another leader, and false if no quorum has answered in this term.
func (n *Node) quorumAcked() (time.Duration, bool) {
	var all []time.Duration
	for _, id := range n.Membership().Voters() {
		p := n.progress[id]
		switch {
		case id == n.cfg.ID:
			all = append(all, n.now)
		case p.answered:
			all = append(all, p.acked)
		}
	}
	quorum := n.Membership().Quorum()
	if len(all) < quorum {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)-quorum], true
}
