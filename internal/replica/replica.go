// Package replica holds a host's copy of the replicated state and the table built
// from it, an immutable view for the data path. The revision of a replica is the
// number of the last log entry that it applied, and only increases.
package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// Limits of the entries kept for peers that lag behind. A peer that needs others gets
// a snapshot.
const (
	maxTail      = 4096    // entries
	maxTailBytes = 4 << 20 // bytes of their data
)

// Entry is one committed entry of the log.
type Entry struct {
	Revision uint64
	Data     []byte // encoded command, empty for an entry that changes nothing
}

// PullArgs are the arguments of a pull, a request for the entries after a
// revision.
type PullArgs struct {
	After uint64
	Wait  time.Duration // longest wait for a newer revision
}

// Batch is an update of a replica, as one host sends it to another.
type Batch struct {
	Snapshot []byte        // whole state; empty if Entries alone are sufficient
	Entries  []Entry       // consecutive entries that follow the snapshot or, without one, PullArgs.After
	Revision uint64        // revision of the sender
	Age      time.Duration // time since the sender's state was last known to be current
	AgeKnown bool          // false if the sender's state was never known to be current
	Waited   time.Duration // time for which the sender held the pull open
}

// Replica is a host's copy of the state. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	state   *state.State
	tail    tail          // latest entries, for peers that lag behind
	changed chan struct{} // closed and replaced each time a table is published
	table   atomic.Pointer[table.Table]
}

// New returns an empty replica.
func New() *Replica {
	r := &Replica{state: state.New(), changed: make(chan struct{})}
	r.table.Store(r.state.Table())
	return r
}

// Table returns the table in force. It never blocks.
func (r *Replica) Table() *table.Table { return r.table.Load() }

// Revision returns the revision in force.
func (r *Replica) Revision() uint64 { return r.Table().Revision }

// Changed returns a channel that is closed when a later revision is in force. It may
// also be closed without one, since Apply publishes the table even after it ignored an
// entry.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Read calls fn with the state, which fn must not keep or change.
func (r *Replica) Read(fn func(*state.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.state)
}

// Apply applies one entry and returns the command's result. An entry that is
// already applied is ignored; an entry that leaves a gap is rejected.
func (r *Replica) Apply(e Entry) (state.Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result, err := r.apply(e)
	if err == nil {
		r.publish()
	}
	return result, err
}

// Install applies a batch from another host. A batch that is older than the
// replica changes nothing.
func (r *Replica) Install(b Batch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Revision
	if err := r.install(b); err != nil {
		return err
	}
	if r.state.Revision != before {
		r.publish()
	}
	return nil
}

func (r *Replica) install(b Batch) error {
	if len(b.Snapshot) > 0 {
		if err := r.restore(b.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if _, err := r.apply(e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) restore(data []byte) error {
	s, err := state.Restore(data)
	if err != nil {
		return err
	}
	if s.Revision <= r.state.Revision {
		return nil // the revision never decreases
	}
	r.state = s
	r.tail = tail{}
	return nil
}

func (r *Replica) apply(e Entry) (state.Result, error) {
	if e.Revision <= r.state.Revision {
		return state.Result{Revision: e.Revision, Repeated: true}, nil
	}
	if e.Revision != r.state.Revision+1 {
		return state.Result{}, fault.New(fault.Unavailable, "request a snapshot", "entry %d does not follow revision %d", e.Revision, r.state.Revision)
	}
	var cmd state.Command
	if len(e.Data) > 0 {
		var err error
		if cmd, err = state.Decode(e.Data); err != nil {
			return state.Result{}, err
		}
	}
	result := r.state.Apply(e.Revision, cmd)
	r.tail.add(e)
	return result, nil
}

func (r *Replica) publish() {
	r.table.Store(r.state.Table())
	close(r.changed)
	r.changed = make(chan struct{})
}

// After returns the batch that a host at the given revision needs to catch up.
func (r *Replica) After(revision uint64) (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Batch{Revision: r.state.Revision}
	if revision >= r.state.Revision {
		return b, nil
	}
	if entries, ok := r.tail.after(revision); ok {
		b.Entries = entries
		return b, nil
	}
	snap, err := r.state.Snapshot()
	if err != nil {
		return Batch{}, err
	}
	b.Snapshot = snap
	return b, nil
}
