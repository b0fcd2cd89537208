package slots

import (
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// serviceTimeShare is the share of the newest service time in the average.
const serviceTimeShare = 0.1

// hold is a slot in use, as the home sees it.
type hold struct {
	holder  string
	granted time.Time
	until   time.Time
}

// waiter is an attempt in the queue.
type waiter struct {
	attempt  string
	customer string
	holder   string
	deadline time.Time
}

// home is the state of a backend server's home.
type home struct {
	self      string // process name
	epoch     fence.Epoch
	params    Params
	claimed   time.Time
	takeover  *fence.Takeover // nil once open
	reports   []Report
	allIn     time.Time // when the last report came, zero before
	open      bool
	opened    time.Time
	cold      bool // the backend server had no home before, so its slots open one by one
	lease     time.Time
	shedUntil time.Time
	held      map[string]hold
	queue     []waiter // earliest deadline first
	turns     turns
	released  map[string]time.Time // released before they asked, and until when that matters
	service   time.Duration        // average service time
}

func newHome(self string, e fence.Epoch, t *fence.Takeover, p Params, now time.Time) *home {
	return &home{self: self, epoch: e, takeover: t, params: p, claimed: now, held: map[string]hold{}, released: map[string]time.Time{}}
}

// tryOpen opens the home once it knows every attempt that may run.
func (h *home) tryOpen(now time.Time) bool {
	if h.open {
		return false
	}
	verdict, served := h.takeover.Result()
	if verdict == fence.Pending {
		return false
	}
	if h.allIn.IsZero() {
		h.allIn = now
	}
	if verdict == fence.Lost && !h.lostIsOver(now) {
		return false
	}
	h.adopt(served, now)
	h.cold = verdict == fence.Fresh
	h.open, h.opened, h.takeover, h.reports = true, now, nil, nil
	return true
}

// lostIsOver reports whether all that a lost home granted has ended. A home in
// another zone cannot tell a lost zone from one that is cut off and still
// served, and so never takes over by time alone.
func (h *home) lostIsOver(now time.Time) bool {
	return h.params.InZone && now.After(h.allIn.Add(LeaseTerm+h.params.MaxHold+CancelGrace))
}

// adopt counts the attempts that may run. A reporting process knows its own;
// those of other processes are known by the former home.
func (h *home) adopt(served fence.Epoch, now time.Time) {
	reporting := map[string]struct{}{}
	for _, r := range h.reports {
		reporting[r.Host] = struct{}{}
		for _, hd := range r.Running {
			h.adoptHold(hd, now)
		}
	}
	for _, r := range h.reports {
		if served == 0 || r.Served != served {
			continue
		}
		for _, hd := range r.Held {
			if _, ok := reporting[hd.Holder]; !ok {
				h.adoptHold(hd, now)
			}
		}
	}
	for attempt := range h.released {
		delete(h.held, attempt)
	}
}

func (h *home) adoptHold(hd Hold, now time.Time) {
	h.held[hd.Attempt] = hold{holder: hd.Holder, granted: now, until: now.Add(hd.Remaining)}
}

func (h *home) mayGrant(now time.Time) bool { return h.open && now.Before(h.lease) }

// slots returns the slots that may be in use now.
func (h *home) slots(now time.Time) int {
	if now.Before(h.shedUntil) {
		return 0
	}
	ramp := h.params.Ramp
	age := now.Sub(h.opened)
	if !h.cold || age >= ramp {
		return h.params.Slots
	}
	return max(1, int(float64(h.params.Slots)*float64(age)/float64(ramp)))
}

func (h *home) load() Load {
	return Load{Busy: len(h.held), Queued: len(h.queue), Slots: h.params.Slots}
}

func (h *home) answer(v Verdict) Answer {
	return Answer{Verdict: v, Claim: fence.Mark{Epoch: h.epoch, Home: h.self}, Load: h.load()}
}

func (h *home) acquire(r Request, now time.Time) Answer {
	h.expireHeld(now)
	_, released := h.released[r.Attempt]
	if released || r.Remaining <= 0 || r.Remaining > h.params.MaxHold {
		return h.answer(Full)
	}
	w := waiter{attempt: r.Attempt, customer: r.Customer, holder: r.Holder, deadline: now.Add(r.Remaining)}
	if len(h.queue) == 0 && len(h.held) < h.slots(now) {
		h.grant(w, now)
		return h.answer(Granted)
	}
	if h.wait(now) >= r.Remaining {
		return h.answer(Full)
	}
	var evicted string
	if len(h.queue) >= h.params.Queue {
		i, ok := evictable(h.queue, w.customer)
		if !ok {
			return h.answer(Full)
		}
		evicted = h.queue[i].attempt
		h.queue = slices.Delete(h.queue, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(h.queue, w, func(a, b waiter) int { return a.deadline.Compare(b.deadline) })
	h.queue = slices.Insert(h.queue, at, w)
	a := h.answer(Queued)
	a.Evicted = evicted
	return a
}

func (h *home) grant(w waiter, now time.Time) {
	h.held[w.attempt] = hold{holder: w.holder, granted: now, until: w.deadline.Add(CancelGrace)}
	h.turns.take(w.customer)
}

// wait estimates how long one more attempt would wait.
func (h *home) wait(now time.Time) time.Duration {
	if shed := h.shedUntil.Sub(now); shed > 0 {
		return shed
	}
	return h.service * time.Duration(len(h.queue)+1) / time.Duration(max(1, h.params.Slots))
}

func (h *home) release(attempt string, now time.Time) []string {
	if hd, ok := h.held[attempt]; ok {
		delete(h.held, attempt)
		h.service += time.Duration(serviceTimeShare * float64(now.Sub(hd.granted)-h.service))
		return h.grantNext(now)
	}
	if i := slices.IndexFunc(h.queue, func(w waiter) bool { return w.attempt == attempt }); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
		return nil
	}
	h.released[attempt] = now.Add(h.params.MaxHold) // its Acquire may still be on the way
	return nil
}

func (h *home) grantNext(now time.Time) (granted []string) {
	for h.mayGrant(now) && len(h.queue) > 0 && len(h.held) < h.slots(now) {
		i := h.turns.next(h.queue)
		w := h.queue[i]
		h.queue = slices.Delete(h.queue, i, i+1)
		h.grant(w, now)
		granted = append(granted, w.attempt)
	}
	return granted
}

// expireHeld frees the slots whose time has passed.
func (h *home) expireHeld(now time.Time) {
	for attempt, hd := range h.held {
		if !now.Before(hd.until) {
			delete(h.held, attempt)
		}
	}
	for attempt, until := range h.released {
		if now.After(until) {
			delete(h.released, attempt)
		}
	}
}

// expireQueue removes and returns the attempts whose deadline has passed.
func (h *home) expireQueue(now time.Time) (late []string) {
	for len(h.queue) > 0 && !now.Before(h.queue[0].deadline) {
		late = append(late, h.queue[0].attempt)
		h.queue = h.queue[1:]
	}
	return late
}

func (h *home) tick(now time.Time) (granted, late []string) {
	h.expireHeld(now)
	late = h.expireQueue(now)
	if !h.mayGrant(now) {
		for _, w := range h.queue {
			late = append(late, w.attempt) // the lease has ended; the holder asks the next home
		}
		h.queue = nil
		return nil, late
	}
	return h.grantNext(now), late
}
