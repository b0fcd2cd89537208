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
	"greengagequay/internal/metrics"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
)

// Limits of connections to backend servers.
const (
	dialTimeout   = time.Second
	idleTimeout   = 30 * time.Second
	idlePerServer = 64
)

// Requests serves callers' HTTP requests.
type Requests struct {
	chain   request.Handler
	metrics *metrics.Registry
	clock   clock.Clock
}

// NewRequests returns the handler of requests with its chain of filters.
func NewRequests(r *replica.Replica, m *metrics.Registry, c clock.Clock) *Requests {
	return &Requests{metrics: m, clock: c, chain: request.Chain(
		&identify.Filter{Replica: r},
		&deadline.Filter{Replica: r, Clock: c},
		&choose.Filter{Replica: r},
		&dispatch.Filter{Replica: r, Transport: newTransport()},
	)}
}

// ServeHTTP passes one request through the chain.
func (s *Requests) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := &request.Request{HTTP: req, Writer: w}
	start := s.clock.Now()
	err := s.chain.Handle(r)
	outcome := request.Answered
	if err != nil {
		request.WriteError(w, err)
		outcome = string(fault.KindOf(err))
	}
	s.metrics.Counter("requests." + outcome).Inc(1)
	elapsed := s.clock.Now().Sub(start)
	s.metrics.Histogram("requests.microseconds", r.Customer, r.Class).Update(elapsed.Microseconds())
}
