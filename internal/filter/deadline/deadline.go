// Package deadline sets the deadline of a request.
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

// connectionGrace is how long after the deadline the caller's connection may still
// be read and written. The answer may be ready just before the deadline. A read
// that fails ends the request's context as if the caller had cancelled, so it must
// not fail before the context ends by the deadline. The grace does not limit the
// error that reports the deadline, which is written after Handle has removed the
// write deadline.
const connectionGrace = time.Second

type Filter struct {
	Replica    *replica.Replica
	Clock      clock.Clock
	MaxTimeout time.Duration // upper limit on the timeout that a caller asks for or a setting gives
}

func (*Filter) Name() string { return "deadline" }

// Handle sets the request's deadline from its header or the settings.
func (f *Filter) Handle(r *request.Request, next request.Handler) error {
	timeout, err := f.timeout(r)
	if err != nil {
		return err
	}
	timeout = min(timeout, f.MaxTimeout)
	r.Deadline = f.Clock.Now().Add(timeout)
	control := http.NewResponseController(r.Writer)
	// The connection of a caller that sends or reads too slowly is closed.
	_ = control.SetReadDeadline(r.Deadline.Add(connectionGrace))
	_ = control.SetWriteDeadline(r.Deadline.Add(connectionGrace))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(r.HTTP.Context(), timeout)
	defer cancel()
	r.HTTP = r.HTTP.WithContext(ctx)
	return next.Handle(r)
}

// timeout returns the timeout in the request's header, or the service's setting if
// the request has none.
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
