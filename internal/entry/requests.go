package entry

import (
	"net/http"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/filter/choose"
	"greengagequay/internal/filter/deadline"
	"greengagequay/internal/filter/dispatch"
	"greengagequay/internal/filter/identify"
	"greengagequay/internal/filter/limit"
	"greengagequay/internal/filter/once"
	"greengagequay/internal/health"
	"greengagequay/internal/homes"
	"greengagequay/internal/metrics"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
)

// Requests serves callers' HTTP requests.
type Requests struct {
	chain   request.Handler
	metrics *metrics.Registry
	clock   clock.Clock
}

// NewRequests returns the handler of requests with all its filters.
func NewRequests(r *replica.Replica, h *homes.Homes, o health.Observer, m *metrics.Registry, c clock.Clock) *Requests {
	s := &Requests{metrics: m, clock: c}
	s.chain = request.Chain(c, s.observe,
		&identify.Filter{Replica: r},
		&limit.Filter{Replica: r, Clock: c},
		&deadline.Filter{Replica: r, Clock: c, MaxTimeout: homes.MaxRequestTimeout},
		&once.Filter{Replica: r, Records: h},
		&choose.Filter{Replica: r, Slots: h, Clock: c, Retries: &choose.RetryBudget{Replica: r}},
		&dispatch.Filter{Replica: r, Transport: dispatch.NewTransport(), Clock: c, Health: o},
	)
	return s
}

func (s *Requests) observe(filter string, r *request.Request, own time.Duration) {
	s.metrics.Histogram("filter."+filter+".microseconds", r.Customer, r.Class).Update(own.Microseconds())
}

// ServeHTTP passes a request through the chain and records its outcome and
// duration.
func (s *Requests) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := &request.Request{HTTP: req, Writer: w}
	start := s.clock.Now()
	outcome := request.Cut // a panic in the chain means that the answer was cut off
	defer func() {
		s.metrics.Counter("requests." + outcome).Inc(1)
		elapsed := s.clock.Now().Sub(start)
		s.metrics.Histogram("requests.microseconds", r.Customer, r.Class).Update(elapsed.Microseconds())
	}()
	err := s.chain.Handle(r)
	outcome = request.Answered
	if err != nil {
		request.WriteError(w, err)
		outcome = string(fault.KindOf(err))
	}
}
