// Package request carries a caller's request through a chain of filters to a
// backend server.
package request

import (
	"net/http"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
)

// Headers of a request and its answer.
const (
	HeaderService  = "Quay-Service"  // service; absent, the host name of the URL is used
	HeaderCustomer = "Quay-Customer" // customer the request belongs to
	HeaderClass    = "Quay-Class"    // class of the request, such as "order" or "upload"
	HeaderKey      = "Quay-Key"      // key of a request that may run once only
	HeaderTimeout  = "Quay-Timeout"  // time the caller waits, such as "2s"
	HeaderOutcome  = "Quay-Outcome"  // kind of the outcome, set on each answer
	HeaderAttempt  = "Quay-Attempt"  // id of the attempt, sent to the backend server and echoed
	HeaderKeyTime  = "Quay-Key-Time" // when the caller made the key, RFC 3339
	HeaderNotRun   = "Quay-Not-Run"  // "1" on a 503 of a backend server that did not run the request
	HeaderReplayed = "Quay-Replayed" // "1" on an answer that comes from the record of an earlier attempt
)

// Request is a request on its way through the chain.
type Request struct {
	HTTP     *http.Request
	Writer   http.ResponseWriter
	Service  string
	Customer string
	Class    string
	Key      string // empty for a request that may be repeated
	Deadline time.Time
	KeyTime  time.Time     // when the caller made the key; zero if it did not say
	Backend  string        // id of the backend server once chosen
	Attempt  string        // id of the attempt once admitted
	Body     *Body         // the caller's body
	Shed     time.Duration // how long the backend server asked to be left alone
	// Ended is true once the backend server has ended its part of the attempt.
	Ended bool
}

// Idempotent reports whether the request may run more than once.
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

// Handler handles a request. An error means that nothing was written to the
// caller; its kind is the outcome.
type Handler interface {
	Handle(r *Request) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(r *Request) error

// Handle calls f.
func (f HandlerFunc) Handle(r *Request) error { return f(r) }

// Filter wraps the next handler.
type Filter interface {
	// Name returns the filter's name for metrics and logs.
	Name() string
	// Handle handles the request and calls next unless it refuses.
	Handle(r *Request, next Handler) error
}

// Chain returns a handler that passes the filters in order. observe gets the
// time that each filter took by itself.
func Chain(c clock.Clock, observe func(filter string, r *Request, own time.Duration), filters ...Filter) Handler {
	var next Handler = HandlerFunc(func(*Request) error {
		return fault.New(fault.Internal, "report a defect", "the chain ends without dispatch")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		next = &link{clock: c, observe: observe, filter: filters[i], next: next}
	}
	return next
}

// link is one filter of a chain.
type link struct {
	clock   clock.Clock
	observe func(string, *Request, time.Duration)
	filter  Filter
	next    Handler
}

// Handle passes the request through the filter and measures it.
func (l *link) Handle(r *Request) error {
	start := l.clock.Now()
	var below time.Duration
	defer func() { l.observe(l.filter.Name(), r, l.clock.Now().Sub(start)-below) }()
	return l.filter.Handle(r, HandlerFunc(func(r *Request) error {
		entered := l.clock.Now()
		defer func() { below += l.clock.Now().Sub(entered) }()
		return l.next.Handle(r)
	}))
}
