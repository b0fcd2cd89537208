package control

import (
	"context"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// outcome is the result of a proposal.
type outcome struct {
	result state.Result
	err    error
}

// Propose commits a command, on this host or on the leader. It retries when a
// reply is lost, because no command takes effect twice: a change has an id, a
// placement has a base revision, a document has a version, an order about a zone has
// a base, and the seed is set only once.
func (h *Host) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		result, err := h.proposeOnce(ctx, data)
		if err == nil || !h.mayRetry(ctx, err) {
			return result, err
		}
		h.sleep(ctx)
	}
}

// mayRetry reports whether a retry may succeed.
func (h *Host) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || h.status.Load().blocked != nil {
		return false
	}
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.OutcomeUnknown, fault.NotCurrent, fault.Limited:
		return true
	}
	return false
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, proposeTimeout)
}

func (h *Host) proposeOnce(ctx context.Context, data []byte) (state.Result, error) {
	addr, err := h.leaderAddr()
	if err != nil {
		return state.Result{}, err
	}
	if addr != h.Addr {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		return h.Transport.Propose(ctx, addr, data)
	}
	return h.ProposeAsLeader(ctx, data)
}

// leaderAddr returns the address of the leader.
func (h *Host) leaderAddr() (string, error) {
	p := h.status.Load()
	if p.blocked != nil {
		return "", p.blocked
	}
	if m, ok := p.members.Find(p.status.Leader); ok {
		return m.Addr, nil
	}
	if !p.members.IsVoter(p.status.ID) {
		return "", fault.New(fault.Unavailable, "add this host with 'quayctl control add', or set \"bootstrap\" for a new log", "control host %s is not a voter of the log", h.Name)
	}
	return "", fault.New(fault.Unavailable, "try again in a second, or ask a control host that reaches a quorum", "no control host leads")
}

// ProposeAsLeader commits an encoded command if this host leads.
func (h *Host) ProposeAsLeader(ctx context.Context, data []byte) (state.Result, error) {
	return h.await(ctx, func(done func(state.Result, error)) { h.engine.propose(data, done) })
}

// await runs fn in the loop and waits for its outcome.
func (h *Host) await(ctx context.Context, fn func(done func(state.Result, error))) (state.Result, error) {
	answer := make(chan outcome, 1)
	done := func(r state.Result, err error) { answer <- outcome{r, err} }
	if err := h.enqueue(ctx, func(time.Duration) { fn(done) }); err != nil {
		return state.Result{}, err
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, fault.New(fault.OutcomeUnknown, "submit the change again with the same id", "no quorum of control hosts has answered: %w", ctx.Err())
	}
}

// Current returns once this host's replica has applied everything that was
// committed before the call. If it cannot prove that, it returns an error of
// kind NotCurrent.
func (h *Host) Current(ctx context.Context) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		index, err := h.readIndex(ctx)
		if err == nil {
			return h.waitApplied(ctx, index)
		}
		if ctx.Err() != nil || h.status.Load().blocked != nil {
			return fault.New(fault.NotCurrent, "ask a control host that reaches a quorum", "control host %s cannot prove that its state is current: %w", h.Name, err)
		}
		h.sleep(ctx)
	}
}

func (h *Host) readIndex(ctx context.Context) (uint64, error) {
	addr, err := h.leaderAddr()
	if err != nil {
		return 0, err
	}
	if addr != h.Addr {
		return h.Transport.ReadIndex(ctx, addr)
	}
	return h.ReadIndexAsLeader(ctx)
}

// ReadIndexAsLeader returns the index that a replica must have applied to be
// current, if this host leads.
func (h *Host) ReadIndexAsLeader(ctx context.Context) (uint64, error) {
	answer := make(chan uint64, 1)
	failed := make(chan error, 1)
	err := h.enqueue(ctx, func(now time.Duration) {
		h.engine.read(now, func(index uint64, err error) {
			if err != nil {
				failed <- err
				return
			}
			answer <- index
		})
	})
	if err != nil {
		return 0, err
	}
	select {
	case index := <-answer:
		return index, nil
	case err := <-failed:
		return 0, err
	case <-ctx.Done():
		return 0, fault.New(fault.NotCurrent, "ask a control host that reaches a quorum", "no quorum of control hosts has answered: %w", ctx.Err())
	}
}

func (h *Host) waitApplied(ctx context.Context, index uint64) error {
	for {
		changed := h.Replica.Changed()
		if h.Replica.Revision() >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.NotCurrent, "ask another control host", "control host %s lags behind revision %d: %w", h.Name, index, ctx.Err())
		}
	}
}

// Backup returns the committed state as a backup file.
func (h *Host) Backup(ctx context.Context) ([]byte, error) {
	if err := h.Current(ctx); err != nil {
		return nil, err
	}
	var s raft.Snapshot
	var err error
	h.Replica.Read(func(st *state.State) {
		s.Index = st.Revision
		s.Data, err = st.Snapshot()
	})
	if err != nil {
		return nil, err
	}
	return encodeBackup(s), nil
}
