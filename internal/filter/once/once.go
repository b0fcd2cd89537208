// Package once ensures that a keyed request, one with an idempotency key, runs at
// most once.
package once

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/homes"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Records decides whether keyed requests may run.
type Records interface {
	// Begin asks for permission to run a request. created is when the caller
	// created the key, zero if unknown. The KeyedRequest is nil unless the verdict
	// is Run.
	Begin(ctx context.Context, service, key string, created, deadline time.Time) (*homes.KeyedRequest, idempotency.Decision)
}

type Filter struct {
	Replica *replica.Replica
	Records Records
}

func (*Filter) Name() string { return "once" }

// Handle runs a keyed request unless it has run or may have run. If its answer is
// stored, Handle writes that answer.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	if r.Key == "" {
		return next.Handle(r)
	}
	key := r.Customer + "\x00" + r.Key
	keyed, d := f.Records.Begin(r.HTTP.Context(), r.Service, key, r.KeyTime, r.Deadline)
	switch d.Verdict {
	case idempotency.Run:
		return f.run(r, keyed, next)
	case idempotency.Answered:
		return replay(r.Writer, d.Record.Answer)
	}
	return refusal(r.Key, d)
}

// refusal returns the error for a request that may not run. This attempt has not
// run. An earlier attempt may have run if the kind is OutcomeUnknown,
// StillRunning or Unavailable.
func refusal(key string, d idempotency.Decision) error {
	switch d.Verdict {
	case idempotency.Running:
		return fault.New(fault.StillRunning, "retry the request to get the answer", "an earlier attempt with key %q is still running", key)
	case idempotency.Unknown:
		return fault.New(fault.OutcomeUnknown, "ask the service whether the request ran; with a new key it may run again", "key %q: %s", key, d.Why)
	case idempotency.Invalid:
		return fault.New(fault.Invalid, "correct the caller's clock", "the creation time of key %q is in the future", key)
	case idempotency.Busy:
		return fault.New(fault.Limited, "retry the request later", "too many request keys are stored")
	}
	return fault.New(fault.Unavailable, "retry the request with the same key, if necessary through another availability zone",
		"the records of key %q cannot be reached: this attempt has not run, but an earlier one may have", key)
}

// run runs the request and records its outcome.
func (f *Filter) run(r *request.Request, keyed *homes.KeyedRequest, next request.Handler) error {
	recorder := &recorder{ResponseWriter: r.Writer, limit: f.bodyLimit(r.Service), status: http.StatusOK}
	r.Writer = recorder
	defer func() { r.Writer = recorder.ResponseWriter }()
	ended := false
	defer func() {
		if !ended { // a panic means that the answer was cut off
			keyed.Finish(idempotency.Answer{Cut: true})
		}
	}()
	err := next.Handle(r)
	ended = true
	switch {
	case err == nil:
		keyed.Finish(recorder.answer())
	case provesNotRun(fault.KindOf(err)):
		keyed.Abort()
	default:
		keyed.EndUnknown()
	}
	return err
}

// provesNotRun reports whether an error of the kind proves that the request did
// not run.
func provesNotRun(kind fault.Kind) bool {
	switch kind {
	case fault.NotRun, fault.NoBackend, fault.Limited, fault.DeadlineExceeded:
		return true
	}
	return false
}

func (f *Filter) bodyLimit(service string) (limit int) {
	f.Replica.Read(func(s *state.State) {
		limit = s.Tree.Int(settings.Path(service), settings.RequestBodyBuffer)
	})
	return limit
}

// replay writes the stored answer of an earlier attempt.
func replay(w http.ResponseWriter, a idempotency.Answer) error {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(request.HeaderReplayed, "1")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // an error means that the caller has disconnected
	return nil
}

// recorder passes an answer on and keeps a copy of it. If the body is longer than
// limit bytes, the copy is discarded.
type recorder struct {
	http.ResponseWriter
	limit    int
	status   int
	header   http.Header
	body     bytes.Buffer
	tooLarge bool
}

// Unwrap returns the caller's writer. http.ResponseController calls it.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader copies the header and passes it on.
func (r *recorder) WriteHeader(status int) {
	r.status, r.header = status, r.Header().Clone()
	r.ResponseWriter.WriteHeader(status)
}

// Write copies the bytes and passes them on.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > r.limit {
		r.tooLarge = true
		r.body.Reset()
	}
	if !r.tooLarge {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

func (r *recorder) answer() idempotency.Answer {
	if r.tooLarge {
		return idempotency.Answer{Cut: true}
	}
	return idempotency.Answer{Status: r.status, Header: r.header, Body: bytes.Clone(r.body.Bytes())}
}
