// Package once lets a request with a key run at most once.
package once

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/homes"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Records permit requests with keys.
type Records interface {
	Begin(ctx context.Context, service, key string, made, deadline time.Time) (*homes.KeyedRequest, oncekey.Decision)
}

// Filter is the once filter.
type Filter struct {
	Replica *replica.Replica
	Records Records
}

// Name returns "once".
func (*Filter) Name() string { return "once" }

// Handle runs a request with a key unless it has run or may have.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	if r.Key == "" {
		return next.Handle(r)
	}
	key := r.Customer + "\x00" + r.Key
	once, d := f.Records.Begin(r.HTTP.Context(), r.Service, key, r.KeyTime, r.Deadline)
	switch d.Verdict {
	case oncekey.Run:
		return f.run(r, once, next)
	case oncekey.Answered:
		return replay(r.Writer, d.Record.Answer)
	}
	return refusal(r.Key, d)
}

// refusal is the outcome of a request that may not run. All kinds but
// OutcomeUnknown and StillRunning say that no attempt has run.
func refusal(key string, d oncekey.Decision) error {
	switch d.Verdict {
	case oncekey.Running:
		return fault.New(fault.StillRunning, "send it again for the answer", "an earlier attempt of key %q runs", key)
	case oncekey.Unknown:
		return fault.New(fault.OutcomeUnknown, "ask the service whether it ran; a new key may run it again", "key %q: %s", key, d.Why)
	case oncekey.Invalid:
		return fault.New(fault.Invalid, "set the caller's clock", "the time of key %q lies in the future", key)
	case oncekey.Busy:
		return fault.New(fault.Limited, "send it again later", "too many keys are kept")
	}
	return fault.New(fault.NotRun, "send it again, also through another availability zone", "the records of key %q cannot be reached", key)
}

// run runs the request and records its end.
func (f *Filter) run(r *request.Request, once *homes.KeyedRequest, next request.Handler) error {
	recorder := &recorder{ResponseWriter: r.Writer, limit: f.bodyLimit(r.Service), status: http.StatusOK}
	r.Writer = recorder
	defer func() { r.Writer = recorder.ResponseWriter }()
	ended := false
	defer func() {
		if !ended { // the answer was cut off
			once.Finish(oncekey.Answer{Cut: true})
		}
	}()
	err := next.Handle(r)
	ended = true
	switch {
	case err == nil:
		once.Finish(recorder.answer())
	case ranNot(fault.KindOf(err)):
		once.Abort()
	default:
		once.EndUnknown()
	}
	return err
}

// ranNot reports whether an outcome proves that the request did not run.
func ranNot(kind fault.Kind) bool {
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

func replay(w http.ResponseWriter, a oncekey.Answer) error {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.Header().Set(request.HeaderReplayed, "1")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that left gets nothing
	return nil
}

// recorder keeps a copy of an answer, up to a limit.
type recorder struct {
	http.ResponseWriter
	limit  int
	status int
	header http.Header
	body   bytes.Buffer
	cut    bool
}

// Unwrap returns the caller's writer, for http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader keeps the header and passes it on.
func (r *recorder) WriteHeader(status int) {
	r.status, r.header = status, r.Header().Clone()
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps the bytes and passes them on.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > r.limit {
		r.cut = true
		r.body.Reset()
	}
	if !r.cut {
		r.body.Write(p)
	}
	return r.ResponseWriter.Write(p)
}

func (r *recorder) answer() oncekey.Answer {
	if r.cut {
		return oncekey.Answer{Cut: true}
	}
	return oncekey.Answer{Status: r.status, Header: r.header, Body: bytes.Clone(r.body.Bytes())}
}
