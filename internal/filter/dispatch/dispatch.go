// Package dispatch sends a request to its backend server and the answer back
// to the caller.
package dispatch

import (
	"errors"
	"io"
	"net"
	"net/http"

	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/table"
)

// Filter is the dispatch filter, the last of the chain.
type Filter struct {
	Replica   *replica.Replica
	Transport http.RoundTripper
}

// Name returns "dispatch".
func (*Filter) Name() string { return "dispatch" }

// Handle runs the request. It never calls next.
func (f *Filter) Handle(r *request.Request, _ request.Handler) error {
	backend, ok := find(f.Replica.Table(), r.Backend)
	if !ok {
		return fault.New(fault.NotRun, "send it again", "backend server %q has left", r.Backend)
	}
	resp, err := f.Transport.RoundTrip(outgoing(r, backend))
	if err != nil {
		return classify(backend.ID, err)
	}
	defer resp.Body.Close()
	copyHeader(r.Writer.Header(), resp.Header)
	r.Writer.Header().Set(request.HeaderOutcome, request.Answered)
	r.Writer.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(r.Writer, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller must see a cut answer, not a short one
	}
	return nil
}

func find(t *table.Table, id string) (table.Backend, bool) {
	for _, b := range t.Backends {
		if b.ID == id {
			return b, true
		}
	}
	return table.Backend{}, false
}

func outgoing(r *request.Request, b table.Backend) *http.Request {
	out := r.HTTP.Clone(r.HTTP.Context())
	out.URL.Scheme = "http"
	out.URL.Host = b.Request.String()
	out.RequestURI = ""
	return out
}

// classify tells whether a failed request can have run. Only a connection
// that was never opened proves that it did not.
func classify(id string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.NotRun, "send it again", "backend server %q cannot be reached: %w", id, err)
	}
	return fault.New(fault.OutcomeUnknown, "ask the service whether it ran", "backend server %q gave no answer: %w", id, err)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
