// Package deadline bounds a request in time.
package deadline

import (
	"context"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Filter is the deadline filter.
type Filter struct {
	Replica *replica.Replica
	Clock   clock.Clock
}

// Name returns "deadline".
func (*Filter) Name() string { return "deadline" }

// Handle sets the request's deadline from its header or the settings.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	timeout, err := f.timeout(r)
	if err != nil {
		return err
	}
	r.Deadline = f.Clock.Now().Add(timeout)
	ctx, cancel := context.WithTimeout(r.HTTP.Context(), timeout)
	defer cancel()
	r.HTTP = r.HTTP.WithContext(ctx)
	return next.Handle(r)
}

func (f *Filter) timeout(r *request.Request) (time.Duration, error) {
	text := r.HTTP.Header.Get(request.HeaderTimeout)
	if text == "" {
		var timeout time.Duration
		f.Replica.Read(func(s *state.State) {
			timeout = s.Tree.Duration(settings.Path(r.Service), settings.RequestTimeout)
		})
		return timeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, fault.New(fault.Invalid, `use a duration such as "2s"`, "request header %s has value %q", request.HeaderTimeout, text)
	}
	return timeout, nil
}
