package raft

import "greengagequay/internal/fault"

// Propose appends commands to the leader's log and returns the index of the
// first one. They count once they come out as committed.
func (n *Node) Propose(data ...[]byte) (uint64, error) {
	if err := n.mayPropose(); err != nil {
		return 0, err
	}
	first := n.log.last() + 1
	for _, d := range data {
		n.appendOwn(EntryCommand, d)
		n.uncommitted += len(d)
	}
	n.sendAppends()
	return first, nil
}

func (n *Node) mayPropose() error {
	switch {
	case n.role != Leader:
		return fault.New(fault.Unavailable, "send it to the leading control host", "this control host does not lead")
	case n.transferee != 0:
		return fault.New(fault.Unavailable, "send it again in a second", "this control host hands over its leadership")
	case n.uncommitted >= maxUncommittedBytes:
		return fault.New(fault.Limited, "send it again later", "%d bytes of commands wait for a quorum", n.uncommitted)
	}
	return nil
}

// appendOwn appends one entry of this term.
func (n *Node) appendOwn(typ EntryType, data []byte) {
	e := Entry{Index: n.log.last() + 1, Term: n.term, Type: typ, Data: data}
	if err := n.log.append(e); err != nil {
		panic(err) // a membership that this member encoded
	}
}

// sendAppends sends every member what it lacks.
func (n *Node) sendAppends() {
	for _, m := range n.Membership().Members {
		for n.sendAppend(m.ID, false) {
		}
	}
}

// sendAppend sends the next entries to a member and reports whether it sent
// any. With force it also sends an empty append, by which a member that missed
// an earlier one notices the gap.
func (n *Node) sendAppend(id ID, force bool) bool {
	p := n.progress[id]
	if p == nil || id == n.cfg.ID || p.full() {
		return false
	}
	prev := p.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.slice(prev, n.log.last(), maxAppendBytes)
	if len(entries) == 0 && !force {
		return false
	}
	n.send(Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit, Sent: n.now,
	})
	p.sent(prev + uint64(len(entries)))
	return len(entries) > 0
}

// sendSnapshot sends the latest snapshot to a member whose next entry was
// compacted away.
func (n *Node) sendSnapshot(id ID, p *progress) {
	if n.snapshot == nil {
		return
	}
	p.state, p.installAt, p.installed = installing, n.now, n.snapshot.Index
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: n.snapshot, Sent: n.now})
}

func (n *Node) handleAppend(m Message) {
	n.hears(m.From)
	answer := Message{Type: MsgAppendResponse, To: m.From, Index: m.Index, Sent: m.Sent}
	if m.Index < n.log.commit {
		answer.Index = n.log.commit // committed entries never conflict
		n.send(answer)
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		answer.Reject = true
		answer.Hint, answer.HintTerm = n.log.lastNotAfter(m.Index, m.LogTerm)
		n.send(answer)
		return
	}
	if !contiguous(m) {
		return // no leader sends this
	}
	if err := n.log.merge(m.Entries); err != nil {
		return // the sender does not decode either; nothing is acknowledged
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last)) // entries after last are not known to match
	answer.Index = last
	n.send(answer)
}

func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return false
		}
	}
	return true
}

func (n *Node) handleSnapshot(m Message) {
	n.hears(m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index) // entries after it may count for a quorum, so they stay
	default:
		n.log.reset(*s)
		n.snapshot, n.install = s, s
	}
	n.send(Message{Type: MsgAppendResponse, To: m.From, Index: n.log.commit, Sent: m.Sent})
}

func (n *Node) handleAppendResponse(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.acked(p, m)
	if m.Reject {
		n.handleReject(p, m)
		return
	}
	news := p.matched(m.Index)
	switch {
	case p.state == probing && (news || p.match == m.Index):
		p.replicate()
	case p.state == installing && p.match >= p.installed:
		p.replicate()
	}
	if news {
		n.maybeCommit()
		n.maybeTransfer(m.From, p)
	}
	for n.sendAppend(m.From, false) {
	}
}

func (n *Node) handleReject(p *progress, m Message) {
	if m.Index <= p.match || p.state == installing {
		return // late, or answered by the snapshot
	}
	if p.state == probing && m.Index != p.next-1 {
		return // answers an earlier probe
	}
	hint, _ := n.log.lastNotAfter(m.Hint, m.HintTerm)
	p.probe(min(hint+1, m.Index))
	n.sendAppend(m.From, true)
}

// maybeCommit commits what a quorum has on disk. Entries of earlier terms are
// committed only along with one of this term: a quorum alone does not keep
// them from being replaced.
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
	n.announceCommit()
	n.answerReads()
}

// announceCommit tells members that have nothing else on the way to them.
func (n *Node) announceCommit() {
	for _, m := range n.Membership().Members {
		p := n.progress[m.ID]
		if p.state == replicating && p.next > n.log.last() {
			n.sendAppend(m.ID, true)
		}
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}
