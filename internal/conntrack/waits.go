package conntrack

import "time"

// requestTimeout returns how long a request of a flow may take.
func (t *Table) requestTimeout(f *flow) time.Duration {
	limit, route := maxRequestTimeout, f.key.routeAddr()
	if x := t.steering.Timeout(route); x > 0 {
		limit = min(limit, x)
	}
	if aim := t.steering.Aim(route); aim > 0 {
		limit = min(limit, max(lateFactor*aim, minRequestTimeout))
	}
	return limit
}

// Tick ends waits and removes flows that are idle. It returns the outcomes since the
// last call, in a slice that is valid until the next call. It is called every 100 ms.
func (t *Table) Tick(now time.Duration) []Outcome {
	if now-t.aliveAt > maxPause {
		t.voidWaits(now)
	}
	t.aliveAt = now
	at := stampOf(now)
	for i := t.flows[0].lists[byWait].next; i != 0; {
		next := t.flows[i].lists[byWait].next
		t.checkWait(at, i)
		i = next
	}
	idle := t.idleTimeout()
	for i := t.flows[0].lists[byUse].next; i != 0 && at.since(t.flows[i].usedAt) >= idle; i = t.flows[0].lists[byUse].next {
		t.remove(i)
	}
	done := t.outcomes
	t.outcomes, t.spare = t.spare[:0], done
	return done
}

// checkWait ends the wait of a flow if it took too long.
func (t *Table) checkWait(at stamp, i uint32) {
	f := &t.flows[i]
	waited := at.since(f.waitAt)
	switch {
	case f.has(closed):
		if waited >= closedRetention {
			t.remove(i)
		}
	case f.has(opening):
		if waited < openingLimit(f.copies) {
			return
		}
		if f.copies < 2 {
			t.report(f, Refused, 0, 0)
		}
		t.remove(i)
	case waited >= t.requestTimeout(f):
		t.report(f, Unanswered, 0, 0)
		t.endWait(i)
		f.flags |= unseen
	}
}

// openingLimit returns how long after an opening packet the next packet of the flow must
// come.
func openingLimit(copies uint8) time.Duration {
	switch copies {
	case 0:
		return openingTimeout
	case 1:
		return firstCopyLimit
	}
	return secondCopyLimit
}

// idleTimeout returns how long a flow without a packet is kept. It is at least the time
// for which a request may wait.
func (t *Table) idleTimeout() time.Duration {
	if x := t.steering.IdleTimeout; x > 0 {
		return min(max(x, maxRequestTimeout+useGranularity), maxIdleTimeout)
	}
	return defaultIdleTimeout
}

// voidWaits ends all waits without an outcome after a pause of the host.
func (t *Table) voidWaits(now time.Duration) {
	t.aliveAt = now
	for i := t.flows[0].lists[byWait].next; i != 0; {
		f := &t.flows[i]
		next := f.lists[byWait].next
		switch {
		case f.has(opening):
			t.remove(i) // the packets after the opening one may have been lost
		case f.has(pending):
			t.endWait(i)
			f.flags |= unseen
		}
		i = next
	}
}
