package raft

import (
	"time"

	"greengagequay/internal/fault"
)

// ReadState is the result of Read. Once the entries up to Index are applied, the
// state is current as of the time of the request.
type ReadState struct {
	Request uint64
	Index   uint64
}

// pendingRead is a read that waits for confirmation by a lease, or by a quorum
// that answers a heartbeat sent after the request.
type pendingRead struct {
	request uint64
	index   uint64 // commit index to read at; 0 until it is known
	round   uint64 // first heartbeat round whose responses confirm the read
	acks    map[ID]bool
}

// Read requests a linearizable read. A later Ready batch returns a ReadState
// with the request number, unless this member stops leading first.
func (n *Node) Read(now time.Duration, request uint64) error {
	n.now = max(n.now, now) // the lease is checked at or after the time of the request
	if n.role != Leader {
		return fault.New(fault.NotCurrent, "send the request to the leader", "this control host is not the leader")
	}
	n.reads = append(n.reads, pendingRead{request: request, acks: map[ID]bool{n.cfg.ID: true}})
	n.answerReads()
	return nil
}

// answerReads starts pending reads and answers those that a lease or a quorum
// confirms. Reads wait until an entry of the current term is committed, because
// the commit index of a new leader may lag until then.
func (n *Node) answerReads() {
	if committed, _ := n.log.term(n.log.commit); n.role != Leader || committed != n.term {
		return
	}
	kept := n.reads[:0]
	needRound := false
	for _, r := range n.reads {
		if r.index == 0 {
			r.index, r.round = n.log.commit, n.round+1
			needRound = true
		}
		if n.holdsLease() || n.hasQuorum(r.acks) {
			n.readStates = append(n.readStates, ReadState{Request: r.request, Index: r.index})
			continue
		}
		kept = append(kept, r)
	}
	n.reads = kept
	if needRound && len(kept) > 0 {
		n.sendHeartbeats()
	}
}

func (n *Node) ackReads(from ID, round uint64) {
	for _, r := range n.reads {
		if r.index != 0 && round >= r.round {
			r.acks[from] = true
		}
	}
	n.answerReads()
}

func (n *Node) hasQuorum(acks map[ID]bool) bool {
	count := 0
	for _, id := range n.Membership().Voters() {
		if acks[id] {
			count++
		}
	}
	return count >= n.Membership().Quorum()
}
