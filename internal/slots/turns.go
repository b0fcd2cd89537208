package slots

// maxTurns bounds the number of customers whose turns are remembered. When it is
// reached, all turns are forgotten.
const maxTurns = 1024

// turns shares slots fairly among customers with queued attempts. A customer's
// turn is a virtual time: each grant increments it, and the customer with the
// lowest turn is served next. The zero value is ready to use.
type turns struct {
	byCustomer map[string]int
	floor      int // turn of the last customer served from the queue; lower turns are raised to it
}

// next returns the index of the waiter to serve next: among the waiters of
// customers with the lowest turn, the one with the earliest deadline. queue is
// ordered by deadline and not empty.
func (t *turns) next(queue []waiter) int {
	best := 0
	for i, w := range queue {
		if t.turnOf(w.customer) < t.turnOf(queue[best].customer) {
			best = i
		}
	}
	t.floor = t.turnOf(queue[best].customer)
	return best
}

// turnOf returns a customer's turn. A customer that was idle accumulates no credit:
// its turn is at least the floor.
func (t *turns) turnOf(customer string) int { return max(t.byCustomer[customer], t.floor) }

func (t *turns) advance(customer string) {
	if t.byCustomer == nil || len(t.byCustomer) >= maxTurns {
		t.byCustomer = map[string]int{}
	}
	t.byCustomer[customer] = t.turnOf(customer) + 1
}

// evictable returns the index of the waiter to evict for a new attempt of the
// customer: the one with the latest deadline of the customer with the most
// waiters. It returns false if that customer would then have fewer waiters than
// the given customer with its new attempt.
func evictable(queue []waiter, customer string) (int, bool) {
	places := map[string]int{}
	for _, w := range queue {
		places[w.customer]++
	}
	worst := -1
	for i, w := range queue {
		if worst < 0 || places[w.customer] >= places[queue[worst].customer] {
			worst = i
		}
	}
	if worst < 0 || places[queue[worst].customer] < places[customer]+2 {
		return 0, false
	}
	return worst, true
}
