package slots

import (
	"slices"
	"time"

	"greengagequay/internal/fence"
)

// serviceTimeWeight is the weight of the newest service time in the moving average.
const serviceTimeWeight = 0.1

// hold is a slot in use, as the home sees it.
type hold struct {
	holder  string // process name of the entry host
	granted time.Time
	until   time.Time // when the home frees the slot at the latest
}

// waiter is an attempt in the queue for a slot.
type waiter struct {
	attempt  string
	customer string
	holder   string
	deadline time.Time
}

// home is the state that a host keeps as the home of a backend server's slots.
type home struct {
	self              string // process name
	epoch             fence.Epoch
	params            Params
	claimedAt         time.Time
	takeover          *fence.Takeover // nil once open
	reports           []Report
	reportsCompleteAt time.Time // when the last missing report arrived, zero until then
	open              bool
	openedAt          time.Time
	coldStart         bool // the backend server had no home before, so its slots open gradually over params.Ramp
	leaseEnd          time.Time
	shedUntil         time.Time
	held              map[string]hold
	queue             []waiter // earliest deadline first
	turns             turns
	released          map[string]time.Time // attempts released before their Acquire arrived, with the time until which each is remembered
	meanServiceTime   time.Duration        // moving average
}

func newHome(self string, e fence.Epoch, t *fence.Takeover, p Params, now time.Time) *home {
	return &home{self: self, epoch: e, takeover: t, params: p, claimedAt: now, held: map[string]hold{}, released: map[string]time.Time{}}
}

// tryOpen opens the home once it knows every attempt that may still run, or, if
// that knowledge was lost, once all such attempts have ended. It reports whether
// it opened the home.
func (h *home) tryOpen(now time.Time) bool {
	if h.open {
		return false
	}
	verdict, served := h.takeover.Result()
	if verdict == fence.Pending {
		return false
	}
	if h.reportsCompleteAt.IsZero() {
		h.reportsCompleteAt = now
	}
	if verdict == fence.Lost && !h.lostGrantsEnded(now) {
		return false
	}
	h.restoreHolds(served, now)
	h.coldStart = verdict == fence.Fresh
	h.open, h.openedAt, h.takeover, h.reports = true, now, nil, nil
	return true
}

// lostGrantsEnded reports whether every attempt granted by a home whose state is
// lost has ended. A host in another zone than the backend server cannot
// distinguish a failed zone from one that is partitioned and still served by its
// own home, so it never takes over because of elapsed time. A host in the zone
// waits from the last report for the end of the lost home's lease and then of the
// last attempt granted under it.
func (h *home) lostGrantsEnded(now time.Time) bool {
	return h.params.InZone && now.After(h.reportsCompleteAt.Add(LeaseDuration+h.params.MaxHold+CancelGrace))
}

// restoreHolds records the attempts that may still run as slots in use. Each process
// that reported lists its own attempts; those of other processes are taken from
// the report of the former home. served is its epoch, 0 if there is none.
func (h *home) restoreHolds(served fence.Epoch, now time.Time) {
	reporting := map[string]struct{}{}
	for _, r := range h.reports {
		reporting[r.Host] = struct{}{}
		for _, hd := range r.Running {
			h.restoreHold(hd, now)
		}
	}
	for _, r := range h.reports {
		if served == 0 || r.Served != served {
			continue
		}
		for _, hd := range r.Held {
			if _, ok := reporting[hd.Holder]; !ok {
				h.restoreHold(hd, now)
			}
		}
	}
	for attempt := range h.released { // released during the takeover
		delete(h.held, attempt)
	}
}

func (h *home) restoreHold(hd Hold, now time.Time) {
	h.held[hd.Attempt] = hold{holder: hd.Holder, granted: now, until: now.Add(hd.Remaining)}
}

func (h *home) mayGrant(now time.Time) bool { return h.open && now.Before(h.leaseEnd) }

// slots returns the number of slots that may be in use now.
func (h *home) slots(now time.Time) int {
	if now.Before(h.shedUntil) {
		return 0
	}
	ramp := h.params.Ramp
	age := now.Sub(h.openedAt)
	if !h.coldStart || age >= ramp {
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
	if h.expectedWait(now) >= r.Remaining {
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
	h.turns.advance(w.customer)
}

// expectedWait estimates how long an attempt would wait if it were queued now.
func (h *home) expectedWait(now time.Time) time.Duration {
	if shed := h.shedUntil.Sub(now); shed > 0 {
		return shed
	}
	return h.meanServiceTime * time.Duration(len(h.queue)+1) / time.Duration(max(1, h.params.Slots))
}

func (h *home) release(attempt string, now time.Time) []string {
	if hd, ok := h.held[attempt]; ok {
		delete(h.held, attempt)
		h.meanServiceTime += time.Duration(serviceTimeWeight * float64(now.Sub(hd.granted)-h.meanServiceTime))
		return h.grantNext(now)
	}
	if i := slices.IndexFunc(h.queue, func(w waiter) bool { return w.attempt == attempt }); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
		return nil
	}
	h.released[attempt] = now.Add(h.params.MaxHold) // its Acquire may still arrive
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

// expireHeld frees the slots of attempts that must have ended. It also deletes the
// entries of released whose Acquire can no longer arrive.
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

// expireQueue removes from the queue the attempts whose deadline has passed, and
// returns them.
func (h *home) expireQueue(now time.Time) (expired []string) {
	for len(h.queue) > 0 && !now.Before(h.queue[0].deadline) {
		expired = append(expired, h.queue[0].attempt)
		h.queue = h.queue[1:]
	}
	return expired
}

func (h *home) tick(now time.Time) (granted, dropped []string) {
	h.expireHeld(now)
	dropped = h.expireQueue(now)
	if !h.mayGrant(now) {
		for _, w := range h.queue {
			dropped = append(dropped, w.attempt) // the lease has ended; the holder asks the next home
		}
		h.queue = nil
		return nil, dropped
	}
	return h.grantNext(now), dropped
}
