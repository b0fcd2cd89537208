package health

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// fairTime is the least time that a backend server must have had before its
// silence counts against it.
const fairTime = time.Second

// OutcomeOf returns what an error of a connection or request says about the
// backend server. It is false if it says nothing: the caller went away, or
// gave it too little time. CtxErr is the error of the caller's context.
func OutcomeOf(err, ctxErr error, spent time.Duration) (Outcome, bool) {
	var timeout net.Error
	switch {
	case err == nil:
		return Answered, true
	case errors.Is(ctxErr, context.Canceled):
		return 0, false
	case ctxErr != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut, spent >= fairTime
	}
	return Refused, true
}

// Note tells the observer what came of a use of a backend server, with the
// arguments of OutcomeOf. Without an observer it does nothing.
func Note(o Observer, id string, err, ctxErr error, spent time.Duration) {
	if o == nil {
		return
	}
	if outcome, known := OutcomeOf(err, ctxErr, spent); known {
		o.Observe(id, outcome)
	}
}
