// Package choose picks a backend server for a request, gets a slot there, and
// tries another one where that cannot make the request run twice.
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

// Bounds of the search for a slot.
const (
	maxChoices = 4                     // backend servers asked in one round
	homeWait   = 5 * time.Second       // for homes that are moving
	pause      = 20 * time.Millisecond // before another round or a retry, at least
)

// Slots admits attempts to backend servers.
type Slots interface {
	Acquire(ctx context.Context, b table.Backend, customer string, deadline time.Time) (*homes.Slot, slots.Verdict)
	Hint(b table.Backend) slots.Load
}

// Filter is the choose filter.
type Filter struct {
	Replica *replica.Replica
	Slots   Slots
	Clock   clock.Clock
	Retries *Budget
}

// Name returns "choose".
func (*Filter) Name() string { return "choose" }

// Handle runs the request on a backend server with a free slot.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	f.Retries.Earn(r.Service)
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

// attempt sends the request once. The slot is given back however it ends.
func (f *Filter) attempt(r *request.Request, b table.Backend, slot *homes.Slot, next request.Handler) error {
	r.Backend, r.Attempt, r.Ended, r.Shed = b.ID, slot.Attempt, false, 0
	defer func() { slot.Release(r.Ended, r.Shed) }()
	return next.Handle(r)
}

// mayRetry reports whether another attempt cannot run the request twice.
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
	return r.Body.Kept() && f.Retries.Spend(r.Service)
}

// admit returns a slot of a backend server.
func (f *Filter) admit(r *request.Request, failed map[string]struct{}) (*homes.Slot, table.Backend, error) {
	until := f.Clock.Now().Add(homeWait)
	for {
		ready := readyBackends(f.Replica.Table(), r.Service, failed)
		if len(ready) == 0 {
			return nil, table.Backend{}, fault.New(fault.NoBackend, "wait until a backend server is ready", "service %q has no ready backend server", r.Service)
		}
		slot, b, full := f.round(r, ready)
		if slot != nil {
			return slot, b, nil
		}
		if err := f.ended(r.HTTP.Context()); err != nil {
			return nil, b, err
		}
		if full || f.Clock.Now().After(until) {
			return nil, b, fault.New(fault.NotRun, "send it again after the time in Retry-After", "the backend servers of service %q are busy", r.Service)
		}
		f.sleep(r.HTTP.Context())
	}
}

// round asks a few backend servers for a slot. full reports that one of them
// has none; otherwise their homes are moving.
func (f *Filter) round(r *request.Request, ready []table.Backend) (slot *homes.Slot, b table.Backend, full bool) {
	for range min(maxChoices, len(ready)) {
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

// pick takes the less busy of two random backend servers, by the hints.
func (f *Filter) pick(ready []table.Backend) int {
	a, b := rand.IntN(len(ready)), rand.IntN(len(ready))
	if busy(f.Slots.Hint(ready[b])) < busy(f.Slots.Hint(ready[a])) {
		return b
	}
	return a
}

func busy(l slots.Load) float64 {
	return float64(l.Busy+l.Queued) / float64(max(1, l.Slots))
}

// ended returns the outcome of a request that ended before it was sent.
func (f *Filter) ended(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, "send it again with more time", "the deadline passed before a slot was free")
	case ctx.Err() != nil:
		return fault.New(fault.NotRun, "send it again", "the caller cancelled the request")
	}
	return nil
}

// sleep waits a moment with jitter. It reports false if the request ended.
func (f *Filter) sleep(ctx context.Context) bool {
	select {
	case <-f.Clock.After(pause + rand.N(pause)):
		return true
	case <-ctx.Done():
		return false
	}
}

func readyBackends(t *table.Table, service string, failed map[string]struct{}) []table.Backend {
	var ready, again []table.Backend
	for _, b := range t.Backends {
		if b.Service != service || b.State != model.Ready || !b.Request.IsValid() {
			continue
		}
		if _, ok := failed[b.ID]; ok {
			again = append(again, b)
			continue
		}
		ready = append(ready, b)
	}
	if len(ready) == 0 {
		return again
	}
	return ready
}
