// Package request defines a caller's HTTP request and the chain of filters that
// passes it to a backend server.
package request

import (
	"net/http"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
)

// Headers of a request and its answer.
const (
	HeaderService  = "Quay-Service"  // name of the service; if absent, the host name of the request is used
	HeaderCustomer = "Quay-Customer" // customer the request belongs to
	HeaderClass    = "Quay-Class"    // class of the request, such as "order" or "upload"
	HeaderKey      = "Quay-Key"      // idempotency key of a request that may run at most once
	HeaderTimeout  = "Quay-Timeout"  // how long the caller waits, such as "2s"
	HeaderOutcome  = "Quay-Outcome"  // kind of the outcome, set on each answer
	HeaderAttempt  = "Quay-Attempt"  // id of the attempt, sent to the backend server and echoed
	HeaderKeyTime  = "Quay-Key-Time" // when the caller created the key, in RFC 3339 format
	HeaderNotRun   = "Quay-Not-Run"  // "1" on a 503 of a backend server that did not run the request
	HeaderReplayed = "Quay-Replayed" // "1" on an answer that comes from the record of an earlier attempt
)

// Request is a request and its state in the chain. A slot is room for one request at a
// backend server.
type Request struct {
	HTTP     *http.Request
	Writer   http.ResponseWriter
	Service  string
	Customer string
	Class    string
	Key      string // request key, an idempotency key; empty if the caller sent none
	Deadline time.Time
	KeyTime  time.Time     // when the caller created the key; zero if unknown
	Backend  string        // id of the backend server, once it is chosen
	Attempt  string        // id of the attempt, once it has a slot
	Body     *Body         // the caller's body
	Shed     time.Duration // how long to grant no slots at the backend server after it refused this request; 0 if it did not
	// Ended is true once it is certain that the attempt is not running at the
	// backend server: it never ran there, or its answer is complete.
	Ended bool
}

// Idempotent reports whether the request may run more than once. A keyed request
// may not, whatever its method.
func (r *Request) Idempotent() bool {
	if r.Key != "" {
		return false
	}
	switch r.HTTP.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// Handler handles a request. If it returns an error, nothing was written to the
// caller, and the kind of the error is the outcome.
type Handler interface {
	Handle(r *Request) error
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(r *Request) error

// Handle calls f.
func (f HandlerFunc) Handle(r *Request) error { return f(r) }

// Filter wraps the next handler.
type Filter interface {
	// Name returns the filter's name for metrics and logs.
	Name() string
	// Handle processes the request and calls next unless it refuses or answers the request itself.
	Handle(r *Request, next Handler) error
}

// Chain returns a handler that calls the filters in order. After each filter it
// calls observe with the time that this filter took, excluding the filters that
// follow it.
func Chain(c clock.Clock, observe func(filter string, r *Request, own time.Duration), filters ...Filter) Handler {
	var next Handler = HandlerFunc(func(*Request) error {
		return fault.New(fault.Internal, "report a defect", "the filter chain does not end with dispatch")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		next = &link{clock: c, observe: observe, filter: filters[i], next: next}
	}
	return next
}

// link is one filter of a chain and the handler that follows it.
type link struct {
	clock   clock.Clock
	observe func(string, *Request, time.Duration)
	filter  Filter
	next    Handler
}

// Handle passes the request to the filter and measures the time that the filter
// takes.
func (l *link) Handle(r *Request) error {
	start := l.clock.Now()
	var downstream time.Duration
	defer func() { l.observe(l.filter.Name(), r, l.clock.Now().Sub(start)-downstream) }()
	return l.filter.Handle(r, HandlerFunc(func(r *Request) error {
		entered := l.clock.Now()
		defer func() { downstream += l.clock.Now().Sub(entered) }()
		return l.next.Handle(r)
	}))
}
