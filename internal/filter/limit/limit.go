// Package limit limits the rate and the concurrency of each customer's requests to
// a service. Each entry host counts only its own requests.
package limit

import (
	"sync"

	"golang.org/x/time/rate"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// maxUsages is the number of pairs of service and customer at which the filter
// forgets those without running requests before it adds another pair.
const maxUsages = 10000

type Filter struct {
	Replica *replica.Replica
	Clock   clock.Clock

	mu     sync.Mutex
	usages map[usageKey]*usage
}

// usageKey identifies the service and customer to which a limit applies.
type usageKey struct{ service, customer string }

// usage tracks the requests of one customer to one service.
type usage struct {
	limiter *rate.Limiter
	running int // number of requests in progress
}

func (*Filter) Name() string { return "limit" }

// Handle refuses the request if its customer has used up a limit.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	perSecond, maxRunning := f.limits(r.Service)
	id := usageKey{r.Service, r.Customer}
	if err := f.acquire(id, perSecond, maxRunning); err != nil {
		return err
	}
	defer f.release(id)
	return next.Handle(r)
}

// limits returns the limits of a service. 0 means unlimited.
func (f *Filter) limits(service string) (perSecond float64, maxRunning int) {
	f.Replica.Read(func(s *state.State) {
		perSecond = s.Tree.Float(settings.Path(service), settings.RequestRate)
		maxRunning = s.Tree.Int(settings.Path(service), settings.RequestConcurrency)
	})
	return perSecond, maxRunning
}

// acquire counts a request as running unless it exceeds a limit.
func (f *Filter) acquire(id usageKey, perSecond float64, maxRunning int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.usage(id)
	if maxRunning > 0 && u.running >= maxRunning {
		return fault.New(fault.Limited, "wait for earlier requests to end", "customer %q has %d requests in progress, the limit of service %q", id.customer, u.running, id.service)
	}
	if perSecond > 0 && !u.allow(perSecond, f.Clock) {
		return fault.New(fault.Limited, "send requests at a lower rate", "customer %q sends more than %g requests per second to service %q", id.customer, perSecond, id.service)
	}
	u.running++
	return nil
}

// allow reports whether the rate permits another request now, and if so counts it.
// The largest burst is the number of requests per second, but at least 1.
func (u *usage) allow(perSecond float64, c clock.Clock) bool {
	if u.limiter == nil || u.limiter.Limit() != rate.Limit(perSecond) {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return u.limiter.AllowN(c.Now(), 1)
}

// usage returns the usage for id, and adds it if it is missing.
func (f *Filter) usage(id usageKey) *usage {
	if f.usages == nil {
		f.usages = map[usageKey]*usage{}
	}
	u := f.usages[id]
	if u != nil {
		return u
	}
	if len(f.usages) >= maxUsages {
		f.removeIdle()
	}
	u = &usage{}
	f.usages[id] = u
	return u
}

func (f *Filter) removeIdle() {
	for id, u := range f.usages {
		if u.running == 0 {
			delete(f.usages, id)
		}
	}
}

func (f *Filter) release(id usageKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usages[id].running--
}
