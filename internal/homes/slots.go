package homes

import (
	"context"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

// MaxRequestTimeout is the longest timeout of a request. If a home is lost with its
// records, its slots stay closed for at least this long.
const MaxRequestTimeout = 2 * time.Minute

// AcquireArgs asks the home of a backend server for a slot.
type AcquireArgs struct {
	Unit    string
	Request slots.Request
}

// ReleaseArgs frees a slot or a place in the queue.
type ReleaseArgs struct {
	Unit    string
	Attempt string
	Shed    time.Duration // for this long the backend server accepts no requests
}

// Acquire replies once the attempt has a slot or will not get one.
func (s *Service) Acquire(args AcquireArgs, out *slots.Answer) error {
	u := s.h.slotUnitByName(args.Unit)
	u.mu.Lock()
	*out = u.core.Acquire(args.Request, s.h.Clock.Now())
	if out.Evicted != "" {
		u.settle(out.Evicted, slots.Full)
	}
	if out.Verdict != slots.Queued {
		u.mu.Unlock()
		return nil
	}
	settled := make(chan slots.Verdict, 1)
	u.waiting[args.Request.Attempt] = settled
	u.mu.Unlock()
	select {
	case out.Verdict = <-settled:
	case <-s.h.Clock.After(args.Request.Remaining):
		out.Verdict = s.cancelQueued(u, args.Request.Attempt, settled)
	case <-s.h.stopped.Done():
		out.Verdict = slots.NotHome
	}
	return nil
}

// cancelQueued removes an attempt from the queue, unless it got its verdict in the
// meantime. It returns the verdict.
func (s *Service) cancelQueued(u *slotUnit, attempt string, settled chan slots.Verdict) slots.Verdict {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case verdict := <-settled:
		return verdict
	default:
	}
	delete(u.waiting, attempt)
	u.settleAll(u.core.Release(attempt, s.h.Clock.Now()), slots.Granted)
	return slots.Full
}

// Release frees a slot or a place in the queue.
func (s *Service) Release(args ReleaseArgs, _ *struct{}) error {
	u := s.h.slotUnitByName(args.Unit)
	u.mu.Lock()
	defer u.mu.Unlock()
	now := s.h.Clock.Now()
	if args.Shed > 0 {
		u.core.Shed(now.Add(args.Shed))
	}
	u.settleAll(u.core.Release(args.Attempt, now), slots.Granted)
	u.settle(args.Attempt, slots.Full) // ends Acquire for an attempt whose caller gave up in the queue
	return nil
}

// Slot is a slot that an attempt of this host holds.
type Slot struct {
	Attempt   string
	h         *Homes
	unit      *slotUnit
	heldUntil time.Time // when the home frees the slot without a release
}

// Acquire asks the home of a backend server for a slot. Any verdict but Granted
// proves that nothing was sent to the backend server.
func (h *Homes) Acquire(ctx context.Context, b table.Backend, customer string, deadline time.Time) (*Slot, slots.Verdict) {
	home := h.view().slotHome(b)
	u := h.slotUnitByName(slotUnitName(b))
	now := h.Clock.Now()
	slot := &Slot{Attempt: h.nextAttempt(), h: h, unit: u, heldUntil: deadline.Add(slots.CancelGrace)}
	args := AcquireArgs{Unit: u.name, Request: slots.Request{Attempt: slot.Attempt, Customer: customer, Holder: h.self, Remaining: deadline.Sub(now)}}
	var answer slots.Answer
	if err := h.call(ctx, home, "Acquire", args, &answer); err != nil {
		h.background(func(context.Context) { slot.release(home, 0) })
		return nil, slots.NotHome
	}
	h.setHint(u.name, answer.Load)
	if answer.Verdict != slots.Granted {
		return nil, answer.Verdict
	}
	if !u.start(slot.Attempt, answer.Claim, deadline, h.Clock.Now()) {
		h.background(func(context.Context) { slot.release(home, 0) })
		return nil, slots.NotHome
	}
	return slot, slots.Granted
}

func (u *slotUnit) start(attempt string, claim fence.Mark, deadline, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.core.Start(attempt, claim, deadline, now)
}

// Release frees the slot. If ended is false, the attempt got no complete answer and
// may still run at the backend server, so the slot is freed only after
// slots.CancelGrace. shed is for how long the backend server asked to get no requests.
func (s *Slot) Release(ended bool, shed time.Duration) {
	s.h.background(func(ctx context.Context) {
		if !ended {
			select {
			case <-s.h.Clock.After(slots.CancelGrace):
			case <-ctx.Done():
				return
			}
		}
		s.unit.mu.Lock()
		s.unit.core.End(s.Attempt)
		home := hostOf(s.unit.core.Home())
		s.unit.mu.Unlock()
		s.release(home, shed)
	})
}

// release calls Release on the home until a call succeeds. At heldUntil it stops,
// since the home then frees the slot by itself.
func (s *Slot) release(home string, shed time.Duration) {
	for s.h.stopped.Err() == nil && s.h.Clock.Now().Before(s.heldUntil) {
		ctx, cancel := context.WithTimeout(s.h.stopped, callTimeout)
		err := s.h.call(ctx, home, "Release", ReleaseArgs{Unit: s.unit.name, Attempt: s.Attempt, Shed: shed}, &struct{}{})
		cancel()
		if err == nil {
			return
		}
		select {
		case <-s.h.Clock.After(retryInterval):
		case <-s.h.stopped.Done():
		}
		s.unit.mu.Lock()
		home = hostOf(s.unit.core.Home())
		s.unit.mu.Unlock()
	}
}

func (h *Homes) setHint(unit string, l slots.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hints[unit] = l
}

// Hint returns the load of a backend server as its home last reported it to this
// host.
func (h *Homes) Hint(b table.Backend) slots.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hints[slotUnitName(b)]
}
