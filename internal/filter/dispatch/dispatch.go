// Package dispatch sends a request to its backend server and the answer back
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

// copyBuffer is the memory for one answer that is in progress, in bytes.
const copyBuffer = 32 << 10

// defaultShed is how long a backend server that refuses work is left alone if
// it names no time.
const defaultShed = 100 * time.Millisecond

// Filter is the dispatch filter, the last of the chain.
type Filter struct {
	Replica   *replica.Replica
	Transport http.RoundTripper
	Clock     clock.Clock
	Health    health.Observer // is told how attempts go, or nil
}

// Name returns "dispatch".
func (*Filter) Name() string { return "dispatch" }

// Handle runs the request. It never calls next.
func (f *Filter) Handle(r *request.Request, _ request.Handler) error {
	backend, ok := find(f.Replica.Table(), r.Backend)
	if !ok {
		r.Ended = true
		return fault.New(fault.NotRun, "send it again", "backend server %q has left", r.Backend)
	}
	ctx, cancel := context.WithCancel(r.HTTP.Context())
	defer cancel()
	out, sent, err := f.outgoing(ctx, r, backend)
	if err != nil {
		r.Ended = true
		return err
	}
	start := f.Clock.Now()
	resp, err := f.Transport.RoundTrip(out)
	health.ObserveResult(f.Health, backend.ID, err, r.HTTP.Context().Err(), f.Clock.Now().Sub(start))
	if err != nil {
		return f.classify(r, err, sent.none())
	}
	defer resp.Body.Close()
	if err := f.check(r, resp); err != nil {
		return err
	}
	return f.answer(r, resp)
}

func find(t *table.Table, id string) (table.Backend, bool) {
	for _, b := range t.Backends {
		if b.ID == id {
			return b, true
		}
	}
	return table.Backend{}, false
}

// outgoing returns the request for the backend server. Its body is never one
// that http.Transport can rewind, so the transport sends it at most once.
func (f *Filter) outgoing(ctx context.Context, r *request.Request, b table.Backend) (*http.Request, *sentBytes, error) {
	sent := &sentBytes{}
	out := r.HTTP.Clone(sent.trace(ctx))
	out.URL.Scheme = "http"
	out.URL.Host = b.Request.String()
	out.RequestURI = ""
	out.GetBody = nil
	dropHopHeaders(out.Header)
	body, ok := r.Body.Reader()
	if !ok {
		return nil, nil, fault.New(fault.NotRun, "send it again", "the body was read and is too long to be kept")
	}
	out.Body = body
	out.Header.Set(request.HeaderAttempt, r.Attempt)
	out.Header.Set(request.HeaderTimeout, r.Deadline.Sub(f.Clock.Now()).String())
	return out, sent, nil
}

// classify tells whether a failed attempt can have run. Only one of which no
// byte was sent certainly did not.
func (f *Filter) classify(r *request.Request, err error, unsent bool) error {
	ctx := r.HTTP.Context()
	switch {
	case unsent && errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Ended = true
		return fault.New(fault.DeadlineExceeded, "send it again with more time", "the deadline passed before backend server %q was reached", r.Backend)
	case unsent:
		r.Ended = true
		return fault.New(fault.NotRun, "send it again", "backend server %q cannot be reached: %w", r.Backend, err)
	}
	return fault.New(fault.OutcomeUnknown, "ask the service whether it ran", "backend server %q gave no answer: %w", r.Backend, err)
}

// check refuses an answer to another attempt, and one that says that the
// request did not run.
func (f *Filter) check(r *request.Request, resp *http.Response) error {
	echoed := resp.Header.Get(request.HeaderAttempt)
	if echoed != "" && echoed != r.Attempt {
		return fault.New(fault.OutcomeUnknown, "ask the service whether it ran", "backend server %q answered attempt %q, not %q", r.Backend, echoed, r.Attempt)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(request.HeaderNotRun) != "1" {
		return nil
	}
	r.Ended = true
	r.Shed = defaultShed
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.Shed = time.Duration(seconds) * time.Second
	}
	return fault.New(fault.NotRun, "send it again after the time in Retry-After", "backend server %q takes no requests now", r.Backend)
}

// answer streams the answer to the caller. A cut answer aborts the caller's
// connection, so that the caller does not take it for a whole one.
func (f *Filter) answer(r *request.Request, resp *http.Response) error {
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

// stream copies with one buffer, so a slow caller slows the backend server
// down. An answer of unknown length is passed on as it comes.
func stream(w http.ResponseWriter, from io.Reader, flush bool) error {
	control := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
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

// hopHeaders concern one connection alone.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// dropHopHeaders removes the headers that concern one connection, and those
// that Connection names.
func dropHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	from = from.Clone()
	dropHopHeaders(from)
	maps.Copy(to, from)
}
