// Package request carries a caller's request through a chain of filters to a
// backend server.
package request

import (
	"net/http"
	"time"

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
	Backend  string // id of the backend server once chosen
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

// Chain returns a handler that passes the filters in order.
func Chain(filters ...Filter) Handler {
	var next Handler = HandlerFunc(func(*Request) error {
		return fault.New(fault.Internal, "report a defect", "the chain ends without dispatch")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		filter, following := filters[i], next
		next = HandlerFunc(func(r *Request) error { return filter.Handle(r, following) })
	}
	return next
}
