// Package choose selects a backend server for a request and acquires a slot there,
// which is room for one request. The home of a backend server, an entry host, grants
// its slots. The package retries a request that did not run or is idempotent, if
// possible at another backend server.
package choose

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/homes"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

// Limits of the search for a slot.
const (
	maxAskedPerRound = 4                     // backend servers asked for a slot in one round
	homeMoveTimeout  = 5 * time.Second       // time to wait for homes that are moving
	retryDelay       = 20 * time.Millisecond // shortest time before another round or a retry
)

// Slots grants slots at backend servers to attempts.
type Slots interface {
	// Acquire asks for a slot at b, and waits in its queue until the deadline at the
	// latest. The slot is nil unless the verdict is Granted.
	Acquire(ctx context.Context, b table.Backend, customer string, deadline time.Time) (*homes.Slot, slots.Verdict)
	// Hint returns the last known load of b.
	Hint(b table.Backend) slots.Load
}

type Filter struct {
	Replica *replica.Replica
	Slots   Slots
	Clock   clock.Clock
	Retries *RetryBudget
}

func (*Filter) Name() string { return "choose" }

// Handle runs the request on a backend server with a free slot, and retries it if
// permitted.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	f.Retries.Deposit(r.Service)
	failed := map[string]struct{}{}
	for {
		slot, b, err := f.admit(r, failed)
		if err != nil {
			return err
		}
		err = f.attempt(r, b, slot, next)
		if err == nil || !f.mayRetry(r, err) {
			return err
		}
		failed[b.ID] = struct{}{}
		if !f.sleep(r.HTTP.Context()) {
			return err
		}
	}
}

// attempt sends the request once. It releases the slot however the attempt ends.
func (f *Filter) attempt(r *request.Request, b table.Backend, slot *homes.Slot, next request.Handler) error {
	r.Backend, r.Attempt, r.Ended, r.Shed = b.ID, slot.Attempt, false, 0
	defer func() { slot.Release(r.Ended, r.Shed) }()
	return next.Handle(r)
}

// mayRetry reports whether the request may be sent again, and if so takes the
// retry from the budget. A retry requires that the request did not run or is
// idempotent, and that its body is still available from its start.
func (f *Filter) mayRetry(r *request.Request, err error) bool {
	switch fault.KindOf(err) {
	case fault.NotRun:
	case fault.OutcomeUnknown:
		if !r.Idempotent() {
			return false
		}
	default:
		return false
	}
	return r.Body.Kept() && f.Retries.Withdraw(r.Service)
}

// admit acquires a slot at a ready backend server. If no slot is granted because
// homes are moving or unreachable, it asks again until homeMoveTimeout has passed.
func (f *Filter) admit(r *request.Request, failed map[string]struct{}) (*homes.Slot, table.Backend, error) {
	until := f.Clock.Now().Add(homeMoveTimeout)
	for {
		ready := readyBackends(f.Replica.Table(), r.Service, failed)
		if len(ready) == 0 {
			return nil, table.Backend{}, fault.New(fault.NoBackend, "wait until a backend server is ready", "service %q has no ready backend server", r.Service)
		}
		slot, b, full := f.tryAcquire(r, ready)
		if slot != nil {
			return slot, b, nil
		}
		if err := f.contextError(r.HTTP.Context()); err != nil {
			return nil, b, err
		}
		if full || f.Clock.Now().After(until) {
			return nil, b, fault.New(fault.NotRun, "retry the request after the time in Retry-After", "the backend servers of service %q are busy", r.Service)
		}
		f.sleep(r.HTTP.Context())
	}
}

// tryAcquire asks for a slot at up to maxAskedPerRound backend servers. full reports
// that the verdict on at least one of them was slots.Full. If no slot is granted and
// full is false, their homes are moving or unreachable, or the context has ended.
func (f *Filter) tryAcquire(r *request.Request, ready []table.Backend) (slot *homes.Slot, b table.Backend, full bool) {
	for range min(maxAskedPerRound, len(ready)) {
		i := f.pick(ready)
		b = ready[i]
		ready[i] = ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		slot, verdict := f.Slots.Acquire(r.HTTP.Context(), b, r.Customer, r.Deadline)
		if verdict == slots.Granted {
			return slot, b, false
		}
		full = full || verdict == slots.Full
		if r.HTTP.Context().Err() != nil {
			break
		}
	}
	return nil, b, full
}

// pick returns the index of the less utilized of two random backend servers,
// according to the hints.
func (f *Filter) pick(ready []table.Backend) int {
	a, b := rand.IntN(len(ready)), rand.IntN(len(ready))
	if utilization(f.Slots.Hint(ready[b])) < utilization(f.Slots.Hint(ready[a])) {
		return b
	}
	return a
}

// utilization returns the used and queued slots as a share of all slots.
func utilization(l slots.Load) float64 {
	return float64(l.Busy+l.Queued) / float64(max(1, l.Slots))
}

// contextError returns the error for a request whose context ended before it was
// sent, or nil if the context has not ended.
func (f *Filter) contextError(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "retry the request with a longer timeout", "the deadline passed before a slot was free")
	case ctx.Err() != nil:
		return fault.New(fault.NotRun, "retry the request", "the caller cancelled the request")
	}
	return nil
}

// sleep waits for retryDelay plus a random time of up to retryDelay. It returns
// false if the context ends first.
func (f *Filter) sleep(ctx context.Context) bool {
	select {
	case <-f.Clock.After(retryDelay + rand.N(retryDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}

// readyBackends returns the ready backend servers of the service without the
// failed ones. If there are no others, it returns the failed ones.
func readyBackends(t *table.Table, service string, failed map[string]struct{}) []table.Backend {
	var ready, readyFailed []table.Backend
	for _, b := range t.Backends {
		if b.Service != service || b.State != model.Ready || !b.Request.IsValid() {
			continue
		}
		if _, ok := failed[b.ID]; ok {
			readyFailed = append(readyFailed, b)
			continue
		}
		ready = append(ready, b)
	}
	if len(ready) == 0 {
		return readyFailed
	}
	return ready
}
