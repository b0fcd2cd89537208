package raft

import (
	"time"

	"greengagequay/internal/fault"
)

// ReadState answers a request to read: once the entries up to Index are
// applied, the state is current as of the time of the request.
type ReadState struct {
	Request uint64
	Index   uint64
}

// pendingRead waits for a quorum to answer a heartbeat that was sent after the
// request.
type pendingRead struct {
	request uint64
	index   uint64
	round   uint64
	acks    map[ID]bool
}

// Read asks for a current state. The answer comes with a Ready batch, unless
// this member stops leading first.
func (n *Node) Read(now time.Duration, request uint64) error {
	n.now = max(n.now, now) // a lease is judged at a time after the request
	if n.role != Leader {
		return fault.New(fault.NotCurrent, "ask the leading control host", "this control host does not lead")
	}
	n.reads = append(n.reads, pendingRead{request: request, acks: map[ID]bool{n.cfg.ID: true}})
	n.answerReads()
	return nil
}

// answerReads starts or answers the waiting reads. The commit index of a new
// leader may lag behind until an entry of its own term is committed; a read
// waits for that.
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
		n.beat()
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
