package health

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// minResponseTime is the time that a backend server must have had to answer before a
// timeout counts against it.
const minResponseTime = time.Second

// OutcomeOf returns the outcome that an error of a connection or request shows. It
// reports false if the error shows nothing about the backend server, because the caller
// cancelled or allowed too little time. ctxErr is the error of the caller's context, and
// spent is the time that the backend server had.
func OutcomeOf(err, ctxErr error, spent time.Duration) (Outcome, bool) {
	var timeout net.Error
	switch {
	case err == nil:
		return Answered, true
	case errors.Is(ctxErr, context.Canceled):
		return 0, false
	case ctxErr != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return TimedOut, spent >= minResponseTime
	}
	return Refused, true
}

// ObserveResult passes the outcome of one use of a backend server to the observer. It
// takes the arguments of OutcomeOf. If the observer is nil it does nothing.
func ObserveResult(o Observer, id string, err, ctxErr error, spent time.Duration) {
	if o == nil {
		return
	}
	if outcome, known := OutcomeOf(err, ctxErr, spent); known {
		o.Observe(id, outcome)
	}
}
