// Package dispatch sends a request to its backend server and returns the answer
// to the caller.
package dispatch

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/health"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/table"
)

// copyBufferSize is the size of the buffer for each answer that is being copied,
// in bytes.
const copyBufferSize = 32 << 10

// defaultShedTime is how long no requests are sent to a backend server that refused
// one without a valid Retry-After.
const defaultShedTime = 100 * time.Millisecond

// Filter is the dispatch filter, the last of the chain.
type Filter struct {
	Replica   *replica.Replica
	Transport http.RoundTripper
	Clock     clock.Clock
	Health    health.Observer // observes the results of attempts; may be nil
}

func (*Filter) Name() string { return "dispatch" }

// Handle runs the request. It never calls next.
func (f *Filter) Handle(r *request.Request, _ request.Handler) error {
	backend, ok := findBackend(f.Replica.Table(), r.Backend)
	if !ok {
		r.Ended = true
		return fault.New(fault.NotRun, "retry the request", "backend server %q is no longer in the table", r.Backend)
	}
	ctx, cancel := context.WithCancel(r.HTTP.Context())
	defer cancel()
	out, sent, err := f.newOutgoingRequest(ctx, r, backend)
	if err != nil {
		r.Ended = true
		return err
	}
	start := f.Clock.Now()
	resp, err := f.Transport.RoundTrip(out)
	health.ObserveResult(f.Health, backend.ID, err, r.HTTP.Context().Err(), f.Clock.Now().Sub(start))
	if err != nil {
		return f.classify(r, err, sent.noneSent())
	}
	defer resp.Body.Close()
	if err := f.checkAnswer(r, resp); err != nil {
		return err
	}
	return f.streamAnswer(r, resp)
}

func findBackend(t *table.Table, id string) (table.Backend, bool) {
	for _, b := range t.Backends {
		if b.ID == id {
			return b, true
		}
	}
	return table.Backend{}, false
}

// newOutgoingRequest returns the request to send to the backend server. Its body, even an
// empty one, is of a type that http.Transport cannot rewind, so that the transport
// sends the request at most once.
func (f *Filter) newOutgoingRequest(ctx context.Context, r *request.Request, b table.Backend) (*http.Request, *sentBytes, error) {
	sent := &sentBytes{}
	out := r.HTTP.Clone(sent.trace(ctx))
	out.URL.Scheme = "http"
	out.URL.Host = b.Request.String()
	out.RequestURI = ""
	out.GetBody = nil
	removeHopByHopHeaders(out.Header)
	body, ok := r.Body.Reader()
	if !ok {
		return nil, nil, fault.New(fault.NotRun, "retry the request", "an earlier attempt read the request body, which is too long to be kept")
	}
	out.Body = body
	out.Header.Set(request.HeaderAttempt, r.Attempt)
	out.Header.Set(request.HeaderTimeout, r.Deadline.Sub(f.Clock.Now()).String())
	return out, sent, nil
}

// classify returns the error for a failed attempt. If any byte of the attempt
// may have been sent, the attempt may have run.
func (f *Filter) classify(r *request.Request, err error, unsent bool) error {
	ctx := r.HTTP.Context()
	switch {
	case unsent && errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Ended = true
		return fault.New(fault.DeadlineExceeded, "retry the request with a longer timeout", "the deadline passed before backend server %q was reached", r.Backend)
	case unsent:
		r.Ended = true
		return fault.New(fault.NotRun, "retry the request", "backend server %q cannot be reached: %w", r.Backend, err)
	}
	return fault.New(fault.OutcomeUnknown, "ask the service whether the request ran", "backend server %q gave no answer: %w", r.Backend, err)
}

// checkAnswer returns an error if the answer belongs to another attempt or states that
// the request did not run.
func (f *Filter) checkAnswer(r *request.Request, resp *http.Response) error {
	echoed := resp.Header.Get(request.HeaderAttempt)
	if echoed != "" && echoed != r.Attempt {
		return fault.New(fault.OutcomeUnknown, "ask the service whether the request ran", "backend server %q answered attempt %q, not %q", r.Backend, echoed, r.Attempt)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(request.HeaderNotRun) != "1" {
		return nil
	}
	r.Ended = true
	r.Shed = defaultShedTime
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.Shed = time.Duration(seconds) * time.Second
	}
	return fault.New(fault.NotRun, "retry the request after the time in Retry-After", "backend server %q rejected the request without running it", r.Backend)
}

// streamAnswer streams the answer to the caller. If it cannot be copied completely,
// streamAnswer aborts the caller's connection, so that the caller does not take the
// truncated answer for a complete one.
func (f *Filter) streamAnswer(r *request.Request, resp *http.Response) error {
	copyHeader(r.Writer.Header(), resp.Header)
	r.Writer.Header().Set(request.HeaderOutcome, request.Answered)
	r.Writer.Header().Del(request.HeaderNotRun)
	r.Writer.WriteHeader(resp.StatusCode)
	flush := resp.ContentLength < 0
	if err := stream(r.Writer, resp.Body, flush); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Ended = true
	return nil
}

// stream copies an answer with a single buffer, so that a slow caller slows down
// the backend server. If flush is true, it flushes after each read, so that an
// answer of unknown length reaches the caller without delay.
func stream(w http.ResponseWriter, from io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			if flush {
				_ = control.Flush()
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders removes the headers that apply to a single connection,
// including those listed in Connection.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyHeader copies all headers except the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	from = from.Clone()
	removeHopByHopHeaders(from)
	maps.Copy(to, from)
}
