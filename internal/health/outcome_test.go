package health_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/health"
)

func TestOutcomeOf(t *testing.T) {
	dial := func(err error) error { return &net.OpError{Op: "dial", Err: err} }
	for _, tc := range []struct {
		name   string
		err    error
		ctxErr error
		spent  time.Duration
		want   health.Outcome
		known  bool
	}{
		{"answer", nil, nil, 0, health.Answered, true},
		{"refused", dial(syscall.ECONNREFUSED), nil, 0, health.Refused, true},
		{"cut off", io.EOF, nil, 0, health.Refused, true},
		{"dial timeout", dial(os.ErrDeadlineExceeded), nil, time.Second, health.TimedOut, true},
		{"deadline", context.DeadlineExceeded, context.DeadlineExceeded, 2 * time.Second, health.TimedOut, true},
		{"short deadline", context.DeadlineExceeded, context.DeadlineExceeded, time.Millisecond, health.TimedOut, false},
		{"caller left", context.Canceled, context.Canceled, time.Minute, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, known := health.OutcomeOf(tc.err, tc.ctxErr, tc.spent)
			qt.Check(t, known, qt.Equals, tc.known)
			qt.Check(t, got, qt.Equals, tc.want)
		})
	}
}
