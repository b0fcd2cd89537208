// Package limit bounds the rate and the concurrency of each customer's
// requests to a service on one entry host.
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

// maxCustomers is the number of customers whose limits are kept. Beyond it the
// idle ones are forgotten.
const maxCustomers = 10000

// Filter is the limit filter.
type Filter struct {
	Replica *replica.Replica
	Clock   clock.Clock

	mu  sync.Mutex
	all map[subject]*usage
}

// subject is what a limit applies to.
type subject struct{ service, customer string }

// usage is what a customer uses of a service.
type usage struct {
	bucket  *rate.Limiter
	running int
}

// Name returns "limit".
func (*Filter) Name() string { return "limit" }

// Handle refuses the request if its customer has used up a limit.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	perSecond, most := f.limits(r.Service)
	id := subject{r.Service, r.Customer}
	if err := f.enter(id, perSecond, most); err != nil {
		return err
	}
	defer f.leave(id)
	return next.Handle(r)
}

func (f *Filter) limits(service string) (perSecond float64, most int) {
	f.Replica.Read(func(s *state.State) {
		perSecond = s.Tree.Float(settings.Path(service), settings.RequestRate)
		most = s.Tree.Int(settings.Path(service), settings.RequestConcurrency)
	})
	return perSecond, most
}

func (f *Filter) enter(id subject, perSecond float64, most int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.usage(id)
	if most > 0 && u.running >= most {
		return fault.New(fault.Limited, "wait for earlier requests to end", "customer %q has %d requests in progress, the limit of service %q", id.customer, u.running, id.service)
	}
	if perSecond > 0 && !u.allow(perSecond, f.Clock) {
		return fault.New(fault.Limited, "send requests at a lower rate", "customer %q sends more than %g requests per second to service %q", id.customer, perSecond, id.service)
	}
	u.running++
	return nil
}

// allow takes a token. The burst is one second's worth.
func (u *usage) allow(perSecond float64, c clock.Clock) bool {
	if u.bucket == nil || u.bucket.Limit() != rate.Limit(perSecond) {
		u.bucket = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return u.bucket.AllowN(c.Now(), 1)
}

func (f *Filter) usage(id subject) *usage {
	if f.all == nil {
		f.all = map[subject]*usage{}
	}
	u := f.all[id]
	if u != nil {
		return u
	}
	if len(f.all) >= maxCustomers {
		f.forgetIdle()
	}
	u = &usage{}
	f.all[id] = u
	return u
}

func (f *Filter) forgetIdle() {
	for id, u := range f.all {
		if u.running == 0 {
			delete(f.all, id)
		}
	}
}

func (f *Filter) leave(id subject) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[id].running--
}
