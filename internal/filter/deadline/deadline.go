// Package deadline bounds a request in time.
package deadline

import (
	"context"
	"net/http"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// grace is the time after the deadline in which a caller may still read the
// error that tells it so.
const grace = time.Second

// Filter is the deadline filter.
type Filter struct {
	Replica *replica.Replica
	Clock   clock.Clock
	Longest time.Duration // a caller that asks for more gets this
}

// Name returns "deadline".
func (*Filter) Name() string { return "deadline" }

// Handle sets the request's deadline from its header or the settings.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	timeout, err := f.timeout(r)
	if err != nil {
		return err
	}
	timeout = min(timeout, f.Longest)
	r.Deadline = f.Clock.Now().Add(timeout)
	bound := http.NewResponseController(r.Writer)
	_ = bound.SetReadDeadline(r.Deadline) // a caller that sends or reads too slowly is cut off
	_ = bound.SetWriteDeadline(r.Deadline.Add(grace))
	defer func() { _ = bound.SetWriteDeadline(time.Time{}) }()
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
