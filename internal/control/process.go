package control

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
)

// process persists, sends and applies what the core has put out.
func (e *engine) process(now time.Duration) {
	for e.blocked() == nil {
		if e.stuck == nil {
			r, ok := e.node.Ready()
			if !ok {
				break
			}
			e.stuck = &r
		}
		r := *e.stuck
		if err := e.persist(r); err != nil {
			e.refuse(now, err)
			return
		}
		e.stuck = nil
		e.hard = r.HardState
		e.sendAll(r.Messages)
		if err := e.apply(r); err != nil {
			e.fail(err)
			return
		}
		e.node.Advance(r)
		e.answerReads(r)
		e.compact()
	}
	e.noteRole()
}

// persist makes the batch survive a crash. It may be repeated.
func (e *engine) persist(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := e.log.Install(*r.Snapshot, r.HardState); err != nil {
			return err
		}
	}
	if r.MustSync && (r.Snapshot == nil || len(r.Entries) > 0) {
		return e.log.Save(r.HardState, r.Entries)
	}
	return nil
}

// refuse keeps the batch until the disk takes it. Meanwhile the host is silent
// and accepts nothing, so that another one leads.
func (e *engine) refuse(now time.Duration, err error) {
	if e.log.Failed() != nil {
		e.fail(err)
		return
	}
	e.stuckErr, e.stuckRetry = err, now+diskRetryInterval
	e.dropWaiters(err)
}

// sendAll sends the messages, those to one member together.
func (e *engine) sendAll(messages []raft.Message) {
	byAddr := map[string][]raft.Message{}
	var order []string
	for _, m := range messages {
		addr := e.addrOf(m.To)
		if addr == "" {
			continue
		}
		if byAddr[addr] == nil {
			order = append(order, addr)
		}
		byAddr[addr] = append(byAddr[addr], m)
	}
	for _, addr := range order {
		e.send(addr, byAddr[addr])
	}
}

// addrOf returns the address of a member. A host that waits to be added knows
// only the address from which it was called.
func (e *engine) addrOf(id raft.ID) string {
	if m, ok := e.node.Membership().Find(id); ok {
		return m.Addr
	}
	return e.addrs[id]
}

// apply applies what is committed to the replica and answers its proposals.
func (e *engine) apply(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := e.replica.Install(replica.Batch{Snapshot: r.Snapshot.Data}); err != nil {
			return err
		}
		e.sinceSnap, e.sinceBytes = 0, 0
	}
	var batch replica.Batch
	for _, entry := range r.Committed {
		e.sinceSnap++
		e.sinceBytes += len(entry.Data)
		item := entryOf(entry)
		waiting, ok := e.proposals[entry.Index]
		if !ok {
			batch.Entries = append(batch.Entries, item)
			continue
		}
		if err := e.replica.Install(batch); err != nil {
			return err
		}
		batch = replica.Batch{}
		result, err := e.replica.Apply(item)
		if err != nil {
			return err
		}
		delete(e.proposals, entry.Index)
		if waiting.term != entry.Term {
			waiting.done(state.Result{}, errReplaced)
			continue
		}
		waiting.done(result, nil)
	}
	return e.replica.Install(batch)
}

// entryOf returns what the replica applies. Entries of the log itself change
// nothing but the revision.
func entryOf(entry raft.Entry) replica.Entry {
	item := replica.Entry{Revision: entry.Index}
	if entry.Type == raft.EntryCommand {
		item.Data = entry.Data
	}
	return item
}

func (e *engine) answerReads(r raft.Ready) {
	for _, rs := range r.ReadStates {
		if done := e.reads[rs.Request]; done != nil {
			delete(e.reads, rs.Request)
			done(rs.Index, nil)
		}
	}
}

// compact makes a snapshot once the log has grown enough.
func (e *engine) compact() {
	if e.sinceSnap < e.snapEntries && e.sinceBytes < snapshotBytes {
		return
	}
	var data []byte
	var err error
	e.replica.Read(func(s *state.State) { data, err = s.Snapshot() })
	if err != nil {
		e.fail(err)
		return
	}
	e.sinceSnap, e.sinceBytes = 0, 0
	s, err := e.node.Compact(data, e.keep)
	if err != nil {
		return // nothing to compact
	}
	if err := e.log.SaveSnapshot(s); err != nil && e.log.Failed() != nil {
		e.fail(err) // else the segments stay until the next snapshot
	}
}

// Errors that leave the outcome of a proposal open.
var (
	errReplaced = fault.New(fault.OutcomeUnknown, "submit it again with the same id", "another control host took over before the command was committed")
	errNoLeader = fault.New(fault.NotCurrent, "ask a control host that reaches a quorum", "this control host no longer leads")
)

// noteRole ends what only a leader can answer. The commands may still be
// committed by the next leader.
func (e *engine) noteRole() {
	leads := e.node.Role() == raft.Leader
	if e.leading && !leads {
		e.dropWaiters(errReplaced)
	}
	e.leading = leads
}

func (e *engine) dropWaiters(err error) {
	for index, p := range e.proposals {
		delete(e.proposals, index)
		p.done(state.Result{}, err)
	}
	for request, done := range e.reads {
		delete(e.reads, request)
		done(0, errNoLeader)
	}
}

// close stores how far the log is committed.
func (e *engine) close() error {
	if e.failed == nil {
		e.saveCommit()
	}
	return e.log.Close()
}
