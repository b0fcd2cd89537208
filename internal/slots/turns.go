package slots

// maxTurns is the number of customers whose turns are remembered.
const maxTurns = 1024

// turns shares slots among the customers that wait: each grant moves a
// customer's turn on by one, and the customer with the earliest turn is next.
// The zero value is ready to use.
type turns struct {
	at    map[string]int
	floor int // turn of a customer that is not remembered
}

// next returns the index of the waiter that is next: the one of the customer
// with the earliest turn, and among those the one with the earliest deadline.
func (t *turns) next(queue []waiter) int {
	best := 0
	for i, w := range queue {
		if t.turn(w.customer) < t.turn(queue[best].customer) {
			best = i
		}
	}
	t.floor = t.turn(queue[best].customer)
	return best
}

// turn returns a customer's turn. One that was idle gains no credit.
func (t *turns) turn(customer string) int { return max(t.at[customer], t.floor) }

func (t *turns) take(customer string) {
	if t.at == nil || len(t.at) >= maxTurns {
		t.at = map[string]int{}
	}
	t.at[customer] = t.turn(customer) + 1
}

// evictable returns the index of the waiter that gives its place to one of the
// customer: the latest of the customer with the most places, if that customer
// keeps at least as many as the newcomer's then has.
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
