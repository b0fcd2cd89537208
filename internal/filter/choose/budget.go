package choose

import (
	"sync"

	"greengagequay/internal/replica"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// maxBalance is the largest number of retries that a service can accumulate.
const maxBalance = 10

// RetryBudget limits retries to a share of each service's requests, so that they
// cannot amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	Replica *replica.Replica

	mu       sync.Mutex
	balances map[string]float64 // number of retries available, by service
}

// Deposit adds the retry share of one request to the service's balance. A new
// service with a retry share starts with the maximum balance.
func (b *RetryBudget) Deposit(service string) {
	var share float64
	b.Replica.Read(func(s *state.State) {
		share = s.Tree.Float(settings.Path(service), settings.RequestRetryShare)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balances == nil {
		b.balances = map[string]float64{}
	}
	if _, ok := b.balances[service]; !ok && share > 0 {
		b.balances[service] = maxBalance
	}
	b.balances[service] = min(maxBalance, b.balances[service]+share)
}

// Withdraw takes one retry from the service's balance. It returns false if less
// than one is available.
func (b *RetryBudget) Withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balances[service] < 1 {
		return false
	}
	b.balances[service]--
	return true
}
