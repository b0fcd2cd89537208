package raft

import "greengagequay/internal/fault"

// Propose appends commands to the leader's log and returns the index of the
// first one. They take effect once a Ready batch returns them in Committed.
func (n *Node) Propose(data ...[]byte) (uint64, error) {
	if err := n.checkCanPropose(); err != nil {
		return 0, err
	}
	first := n.log.lastIndex() + 1
	for _, d := range data {
		n.appendEntry(EntryCommand, d)
		n.uncommitted += len(d)
	}
	n.sendAppends()
	return first, nil
}

func (n *Node) checkCanPropose() error {
	switch {
	case n.role != Leader:
		return fault.New(fault.Unavailable, "send the request to the leader", "this control host is not the leader")
	case n.transferee != 0:
		return fault.New(fault.Unavailable, "send the request again in a second", "this control host is transferring its leadership")
	case n.uncommitted >= maxUncommittedBytes:
		return fault.New(fault.Limited, "send the request again later", "%d bytes of commands are not committed yet", n.uncommitted)
	}
	return nil
}

// appendEntry appends an entry of the current term to the leader's log.
func (n *Node) appendEntry(typ EntryType, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Type: typ, Data: data}
	if err := n.log.append(e); err != nil {
		panic(err) // cannot happen: this member encoded the membership
	}
}

// sendAppends sends each member the entries that it lacks, as far as its flow
// control allows.
func (n *Node) sendAppends() {
	for _, m := range n.Membership().Members {
		for n.sendAppend(m.ID, false) {
		}
	}
}

// sendAppend sends the next entries to a member and reports whether it sent
// any. With force it sends an append even without entries, so that a member
// that missed an earlier append detects the gap.
func (n *Node) sendAppend(id ID, force bool) bool {
	p := n.progress[id]
	if p == nil || id == n.cfg.ID || p.throttled() {
		return false
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(prev, n.log.lastIndex(), maxAppendBytes)
	if len(entries) == 0 && !force {
		return false
	}
	n.send(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit, Sent: n.now,
	})
	p.recordSent(prev+uint64(len(entries)), dataBytes(entries))
	return len(entries) > 0
}

func dataBytes(entries []Entry) int {
	total := 0
	for _, e := range entries {
		total += len(e.Data)
	}
	return total
}

// sendSnapshot sends the latest snapshot to a member whose next entry has been
// compacted.
func (n *Node) sendSnapshot(id ID, p *progress) {
	if n.snapshot == nil {
		return
	}
	p.state, p.snapshotSentAt, p.snapshotIndex = sendingSnapshot, n.now, n.snapshot.Index
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: n.snapshot, Sent: n.now})
}

func (n *Node) handleAppend(m Message) {
	n.observeLeader(m.From)
	response := Message{Type: MsgAppendResponse, To: m.From, Index: m.Index, Sent: m.Sent}
	if m.Index < n.log.commit {
		response.Index = n.log.commit // committed entries never conflict
		n.send(response)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		response.Reject = true
		response.Hint, response.HintTerm = n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.send(response)
		return
	}
	if !hasContiguousEntries(m) {
		return // invalid: a leader sends contiguous entries only
	}
	if err := n.log.merge(m.Entries); err != nil {
		return // a membership does not decode; the append stays unacknowledged
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last)) // entries after last may conflict with the leader's log
	response.Index = last
	n.send(response)
}

func hasContiguousEntries(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return false
		}
	}
	return true
}

func (n *Node) handleSnapshot(m Message) {
	n.observeLeader(m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index) // keeps the entries after it, which a quorum may rely on
	default:
		n.log.reset(*s)
		n.snapshot, n.receivedSnapshot = s, s
	}
	n.send(Message{Type: MsgAppendResponse, To: m.From, Index: n.log.commit, Sent: m.Sent})
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordAck(p, m)
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	advanced := p.advanceMatch(m.Index)
	switch {
	case p.state == probing && (advanced || p.match == m.Index):
		p.replicate()
	case p.state == sendingSnapshot && p.match >= p.snapshotIndex:
		p.replicate()
	}
	if advanced {
		n.maybeCommit()
		n.maybeTransfer(m.From, p)
	}
	for n.sendAppend(m.From, false) {
	}
}

func (n *Node) handleReject(p *progress, m Message) {
	if m.Index <= p.match || p.state == sendingSnapshot {
		return // stale, or the snapshot in flight covers it
	}
	if p.state == probing && m.Index != p.next-1 {
		return // the response belongs to an earlier probe
	}
	hint, _ := n.log.findConflictByTerm(m.Hint, m.HintTerm)
	p.probe(min(hint+1, m.Index))
	n.sendAppend(m.From, true)
}

// maybeCommit commits the entries that a quorum has on disk. Entries of earlier
// terms are committed only along with one of the current term, because a later
// leader may still replace them even if a quorum holds them.
func (n *Node) maybeCommit() {
	index := n.quorumMatch()
	if term, ok := n.log.term(index); !ok || term != n.term {
		return
	}
	before := n.log.commit
	n.commitTo(index)
	if n.log.commit == before {
		return
	}
	for _, e := range n.log.slice(before, n.log.commit, maxUncommittedBytes) {
		n.uncommitted = max(0, n.uncommitted-len(e.Data))
	}
	n.sendCommitIndex()
	n.answerReads()
}

// sendCommitIndex sends the commit index to the replicating members that have
// been sent all entries. The others receive it with their next append or
// heartbeat.
func (n *Node) sendCommitIndex() {
	for _, m := range n.Membership().Members {
		p := n.progress[m.ID]
		if p.state == replicating && p.next > n.log.lastIndex() {
			n.sendAppend(m.ID, true)
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.lastIndex()))
}
