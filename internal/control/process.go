package control

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
)

// process persists, sends and applies the output of the Raft node. After a disk error
// it first persists the same batch again, once a retry is due.
func (e *engine) process(now time.Duration) {
	if e.diskErr != nil && now < e.retryAt {
		return
	}
	for e.failed == nil {
		if e.pending == nil {
			r, ok := e.node.Ready()
			if !ok {
				break
			}
			e.pending = &r
		}
		r := *e.pending
		if err := e.persist(r); err != nil {
			e.handlePersistError(now, err)
			return
		}
		e.pending, e.diskErr = nil, nil
		e.hardState = r.HardState
		e.sendAll(r.Messages)
		if err := e.apply(r); err != nil {
			e.fail(err)
			return
		}
		e.node.Advance(r)
		e.answerReads(r)
		e.compact()
	}
	e.updateLeading()
}

// persist makes the batch durable. It may be called again after an error.
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

// handlePersistError keeps the batch and schedules a retry, or fails the engine
// if the log takes no more writes. Until the batch is persisted, this host sends
// and accepts nothing, so that another host can become the leader.
func (e *engine) handlePersistError(now time.Duration, err error) {
	if e.log.Failed() != nil {
		e.fail(err)
		return
	}
	e.diskErr, e.retryAt = err, now+diskRetryInterval
	e.failPending(err)
}

// sendAll sends the messages, grouped by the address of the receiver.
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

// addrOf returns the address of a member, or "" if it is unknown. A host that
// was not added yet knows only the addresses of hosts that sent it messages.
func (e *engine) addrOf(id raft.ID) string {
	if m, ok := e.node.Membership().Find(id); ok {
		return m.Addr
	}
	return e.addrs[id]
}

// apply applies a received snapshot and the committed entries to the replica,
// and reports the results of the proposals among them.
func (e *engine) apply(r raft.Ready) error {
	if r.Snapshot != nil {
		if err := e.replica.Install(replica.Batch{Snapshot: r.Snapshot.Data}); err != nil {
			return err
		}
		e.entriesSinceSnapshot, e.bytesSinceSnapshot = 0, 0
	}
	var batch replica.Batch
	for _, entry := range r.Committed {
		e.entriesSinceSnapshot++
		e.bytesSinceSnapshot += len(entry.Data)
		item := replicaEntry(entry)
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
			waiting.done(state.Result{}, errLeaderChanged)
			continue
		}
		waiting.done(result, nil)
	}
	return e.replica.Install(batch)
}

// replicaEntry converts a log entry for the replica. Entries other than
// commands only advance the revision.
func replicaEntry(entry raft.Entry) replica.Entry {
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

// compact takes a snapshot once enough entries or bytes were applied since the
// last one.
func (e *engine) compact() {
	if e.entriesSinceSnapshot < e.snapshotEntries && e.bytesSinceSnapshot < snapshotBytes {
		return
	}
	var data []byte
	var err error
	e.replica.Read(func(s *state.State) { data, err = s.Snapshot() })
	if err != nil {
		e.fail(err)
		return
	}
	e.entriesSinceSnapshot, e.bytesSinceSnapshot = 0, 0
	s, err := e.node.Compact(data, e.trailingEntries)
	if err != nil {
		return // nothing to compact
	}
	// An error that leaves the log usable is ignored: the old segments stay until
	// the next snapshot.
	if err := e.log.SaveSnapshot(s); err != nil && e.log.Failed() != nil {
		e.fail(err)
	}
}

// Errors for requests that end because this host does not lead. After
// errLeaderChanged, the next leader may still commit the command.
var (
	errLeaderChanged = fault.New(fault.OutcomeUnknown, "submit the change again with the same id", "another control host took over before the command was committed")
	errNotLeader     = fault.New(fault.NotCurrent, "ask a control host that reaches a quorum", "this control host is no longer the leader")
)

// updateLeading fails the pending proposals and reads when this host has lost
// the leadership. The next leader may still commit the proposals.
func (e *engine) updateLeading() {
	leads := e.node.Role() == raft.Leader
	if e.leading && !leads {
		e.failPending(errLeaderChanged)
	}
	e.leading = leads
}

func (e *engine) failPending(err error) {
	for index, p := range e.proposals {
		delete(e.proposals, index)
		p.done(state.Result{}, err)
	}
	for request, done := range e.reads {
		delete(e.reads, request)
		done(0, errNotLeader)
	}
}

// close saves the commit index and closes the log.
func (e *engine) close() error {
	if e.failed == nil {
		e.saveCommit()
	}
	return e.log.Close()
}
