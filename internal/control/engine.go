package control

import (
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

// engine connects the Raft node with its storage and the replica. It has no
// goroutine and no clock: its owner calls it from one goroutine and passes the
// time.
type engine struct {
	cfg     raft.Config
	node    *raft.Node
	log     *wal.Log
	replica *replica.Replica
	send    func(addr string, messages []raft.Message)
	seed    func() uint64 // random source for the seed of the flow hash, which maps flows to buckets

	hardState            raft.HardState
	addrs                map[raft.ID]string             // addresses of hosts that have sent messages
	proposals            map[uint64]proposal            // by log index
	reads                map[uint64]func(uint64, error) // by number of the read request
	lastRead             uint64                         // number of the last read request
	seedCheckedTerm      uint64                         // last term in which this host led and checked the seed
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	pending              *raft.Ready   // batch that is not fully persisted yet, kept for retries
	diskErr              error         // why pending could not be persisted; until it is, the node must not change
	retryAt              time.Duration // when the disk may be tried again after diskErr
	failed               error         // permanent: the engine sends and accepts nothing more
	leading              bool          // this host led when updateLeading was last called
	snapshotEntries      int           // entries between two snapshots
	trailingEntries      uint64        // entries kept before a snapshot
}

// proposal is a call that waits for its entry to be committed.
type proposal struct {
	term uint64
	done func(state.Result, error)
}

// newEngine returns an engine that continues from the stored log.
func newEngine(cfg raft.Config, stored wal.Stored, log *wal.Log, r *replica.Replica, now time.Duration) (*engine, error) {
	cfg.ID = stored.ID
	e := &engine{
		cfg: cfg, log: log, replica: r, hardState: stored.Restored.HardState,
		snapshotEntries: defaultSnapshotEntries, trailingEntries: defaultTrailingEntries,
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

// startLog starts a new log whose voters are the given members.
func (e *engine) startLog(now time.Duration, members []raft.Member) error {
	if !e.node.Blank() {
		return fault.New(fault.Conflict, "remove \"bootstrap\" from the settings", "this host is already a member of a log")
	}
	first := raft.Entry{Index: 1, Term: 1, Type: raft.EntryMembership, Data: raft.EncodeMembership(raft.Membership{Members: members})}
	hardState := raft.HardState{Term: 1}
	if err := e.log.Save(hardState, []raft.Entry{first}); err != nil {
		return err
	}
	node, err := raft.New(e.cfg, raft.Restored{HardState: hardState, Entries: []raft.Entry{first}}, now)
	if err != nil {
		return err
	}
	e.node, e.hardState = node, hardState
	// Only the first voter campaigns at once, so that votes are not split.
	if members[0].ID == e.cfg.ID {
		node.Campaign(now)
	}
	return nil
}

// blocked returns the error that keeps this host from sending and accepting
// anything, or nil.
func (e *engine) blocked() error {
	if e.failed != nil {
		return e.failed
	}
	return e.diskErr
}

// propose appends a command. It calls done once the outcome is known.
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

// await calls done once the entry at index is applied, or with an error if
// failPending is called first.
func (e *engine) await(index uint64, done func(state.Result, error)) {
	if old, ok := e.proposals[index]; ok {
		old.done(state.Result{}, errLeaderChanged) // the old entry belongs to an earlier term
	}
	e.proposals[index] = proposal{e.node.Term(), done}
}

// proposeMembership appends a change of members. It calls done once the outcome
// is known.
func (e *engine) proposeMembership(fn func(raft.Membership) (raft.Membership, error), done func(state.Result, error)) {
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

// read calls done with the index that a replica must have applied to be current.
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

// receive passes messages from another host to the Raft node.
func (e *engine) receive(now time.Duration, env Envelope) {
	if e.blocked() != nil {
		return // a reply could promise what this host cannot persist
	}
	for _, m := range env.Messages {
		e.addrs[m.From] = env.Addr
		e.node.Step(now, m)
	}
}

// tick passes the time to the Raft node.
func (e *engine) tick(now time.Duration) {
	if e.blocked() != nil {
		return
	}
	e.node.Tick(now)
	e.saveCommit()
	e.proposeSeed()
}

// saveCommit saves the commit index, at most once per tick, so that a restarted
// host continues from the revision that it had applied.
func (e *engine) saveCommit() {
	if e.hardState.Commit <= e.log.HardState().Commit || e.pending != nil {
		return
	}
	if err := e.log.Save(e.hardState, nil); err != nil && e.log.Failed() != nil {
		e.fail(err)
	}
}

// proposeSeed proposes a seed of the flow hash if the state has none. A leader
// does so at most once per term.
func (e *engine) proposeSeed() {
	term := e.node.Term()
	if e.node.Role() != raft.Leader || term == e.seedCheckedTerm || e.seed == nil {
		return
	}
	e.seedCheckedTerm = term
	seeded := false
	e.replica.Read(func(s *state.State) { seeded = s.Seed != 0 })
	if seeded {
		return
	}
	if data, err := state.Encode(state.Command{Seed: e.seed()}); err == nil {
		_, _ = e.node.Propose(data)
	}
}

// fail stops the engine permanently and fails the pending requests.
func (e *engine) fail(err error) {
	e.failed = err
	e.failPending(err)
}
