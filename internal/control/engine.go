package control

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// engine joins the core of the replicated log with its storage and the
// replica. It has no goroutine and no clock; the host that owns it calls it
// from one goroutine.
type engine struct {
	cfg     raft.Config
	node    *raft.Node
	log     *wal.Log
	replica *replica.Replica
	send    func(addr string, messages []raft.Message)
	seed    func() uint64 // random source of the flow hash's seed

	hard        raft.HardState
	addrs       map[raft.ID]string // of members that sent something
	proposals   map[uint64]proposal
	reads       map[uint64]func(uint64, error)
	lastRead    uint64
	seededTerm  uint64
	sinceSnap   int // entries since the last snapshot
	sinceBytes  int
	stuck       *raft.Ready // batch that the disk refused
	stuckErr    error
	stuckRetry  time.Duration
	failed      error // this host takes no part any more
	leading     bool
	snapEntries int    // entries between two snapshots
	keep        uint64 // entries kept behind a snapshot
}

// proposal waits for its entry.
type proposal struct {
	term uint64
	done func(state.Result, error)
}

// newEngine continues from what is stored.
func newEngine(cfg raft.Config, stored wal.Stored, log *wal.Log, r *replica.Replica, now time.Duration) (*engine, error) {
	cfg.ID = stored.ID
	e := &engine{
		cfg: cfg, log: log, replica: r, hard: stored.Restored.HardState,
		snapEntries: snapshotEntries, keep: keptEntries,
		addrs: map[raft.ID]string{}, proposals: map[uint64]proposal{}, reads: map[uint64]func(uint64, error){},
	}
	if s := stored.Restored.Snapshot; s != nil {
		if err := r.Install(replica.Batch{Snapshot: s.Data}); err != nil {
			return nil, err
		}
	}
	node, err := raft.New(cfg, stored.Restored, now)
	e.node = node
	return e, err
}

// found starts a new log whose voters are the given members.
func (e *engine) found(now time.Duration, members []raft.Member) error {
	if !e.node.Blank() {
		return fault.New(fault.Conflict, "remove \"bootstrap\" from the settings", "this host is a member already")
	}
	first := raft.Entry{Index: 1, Term: 1, Type: raft.EntryMembership, Data: raft.EncodeMembership(raft.Membership{Members: members})}
	hard := raft.HardState{Term: 1}
	if err := e.log.Save(hard, []raft.Entry{first}); err != nil {
		return err
	}
	node, err := raft.New(e.cfg, raft.Restored{HardState: hard, Entries: []raft.Entry{first}}, now)
	if err != nil {
		return err
	}
	e.node, e.hard = node, hard
	if members[0].ID == e.cfg.ID {
		node.Campaign(now) // one of them, so that votes do not split
	}
	return nil
}

// blocked returns why the host accepts nothing, or nil.
func (e *engine) blocked() error {
	if e.failed != nil {
		return e.failed
	}
	return e.stuckErr
}

// propose appends a command. done is called once its outcome is known.
func (e *engine) propose(data []byte, done func(state.Result, error)) {
	if err := e.blocked(); err != nil {
		done(state.Result{}, err)
		return
	}
	index, err := e.node.Propose(data)
	if err != nil {
		done(state.Result{}, err)
		return
	}
	e.await(index, done)
}

// await calls done once the entry at index is committed.
func (e *engine) await(index uint64, done func(state.Result, error)) {
	if old, ok := e.proposals[index]; ok {
		old.done(state.Result{}, errReplaced) // of an earlier term
	}
	e.proposals[index] = proposal{e.node.Term(), done}
}

// change appends a change of members.
func (e *engine) change(fn func(raft.Membership) (raft.Membership, error), done func(state.Result, error)) {
	if err := e.blocked(); err != nil {
		done(state.Result{}, err)
		return
	}
	index, err := e.node.ProposeMembership(fn)
	if err != nil {
		done(state.Result{}, err)
		return
	}
	e.await(index, done)
}

// read calls done with the index from which the state is current.
func (e *engine) read(now time.Duration, done func(uint64, error)) {
	err := e.blocked()
	if err == nil {
		e.lastRead++
		err = e.node.Read(now, e.lastRead)
	}
	if err != nil {
		done(0, err)
		return
	}
	e.reads[e.lastRead] = done
}

// receive takes messages of another member.
func (e *engine) receive(now time.Duration, env Envelope) {
	if e.blocked() != nil {
		return // it could not persist what an answer promises
	}
	for _, m := range env.Messages {
		e.addrs[m.From] = env.Addr
		e.node.Step(now, m)
	}
}

// tick tells the time.
func (e *engine) tick(now time.Duration) {
	switch {
	case e.failed != nil:
		return
	case e.stuck != nil && now >= e.stuckRetry:
		e.stuckErr = nil // try the disk again
	case e.stuck != nil:
		return
	}
	e.node.Tick(now)
	e.saveCommit()
	e.giveSeed()
}

// saveCommit stores how far the log is committed, at most once per tick, so
// that a restarted host goes on from the revision that it had in force.
func (e *engine) saveCommit() {
	if e.hard.Commit <= e.log.HardState().Commit || e.stuck != nil {
		return
	}
	if err := e.log.Save(e.hard, nil); err != nil {
		e.failed = e.log.Failed()
	}
}

// giveSeed proposes the seed of the flow hash once, at the start of a log.
func (e *engine) giveSeed() {
	term := e.node.Term()
	if e.node.Role() != raft.Leader || term == e.seededTerm || e.seed == nil {
		return
	}
	e.seededTerm = term
	seeded := false
	e.replica.Read(func(s *state.State) { seeded = s.Seed != 0 })
	if seeded {
		return
	}
	if data, err := state.Encode(state.Command{Seed: e.seed()}); err == nil {
		_, _ = e.node.Propose(data)
	}
}

// fail ends this host's part in the log.
func (e *engine) fail(err error) {
	e.failed = err
	e.dropWaiters(err)
}
