package choose

import (
	"sync"

	"greengagequay/internal/replica"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// maxSaved is the number of retries that a service can save up.
const maxSaved = 10

// Budget bounds retries to a share of each service's requests, so that they
// cannot multiply an overload. It is safe for concurrent use.
type Budget struct {
	Replica *replica.Replica

	mu    sync.Mutex
	saved map[string]float64 // by service
}

// Earn counts a request of the service.
func (b *Budget) Earn(service string) {
	var share float64
	b.Replica.Read(func(s *state.State) {
		share = s.Tree.Float(settings.Path(service), settings.RequestRetryShare)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved == nil {
		b.saved = map[string]float64{}
	}
	if _, ok := b.saved[service]; !ok && share > 0 {
		b.saved[service] = maxSaved
	}
	b.saved[service] = min(maxSaved, b.saved[service]+share)
}

// Spend takes one retry from the budget. It reports false if there is none.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved[service] < 1 {
		return false
	}
	b.saved[service]--
	return true
}
