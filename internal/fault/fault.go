// Package fault defines the typed errors of greengagequay. Every error has a
// kind, which callers act on, and a remedy, which says what an operator or a
// caller should do.
package fault

import (
	"errors"
	"fmt"
)

// Kind classifies an error. Kinds cross process boundaries as text.
type Kind string

const (
	Invalid          Kind = "invalid"           // the input is malformed or out of range
	NotFound         Kind = "not_found"         // the named object does not exist
	Conflict         Kind = "conflict"          // a newer revision exists
	Unauthorized     Kind = "unauthorized"      // credentials are absent or insufficient
	NotCurrent       Kind = "not_current"       // the host cannot prove that its state is current
	Unavailable      Kind = "unavailable"       // a required process cannot be reached
	NotRun           Kind = "not_run"           // the request is certain not to have run
	OutcomeUnknown   Kind = "outcome_unknown"   // the request may or may not have run
	StillRunning     Kind = "still_running"     // an earlier attempt of the request is still running
	DeadlineExceeded Kind = "deadline_exceeded" // the deadline passed before the request ran
	Limited          Kind = "limited"           // the request was refused by a limit before it ran
	NoBackend        Kind = "no_backend"        // no backend server can take the request
	Corrupt          Kind = "corrupt"           // stored data is damaged
	Internal         Kind = "internal"          // an unexpected failure
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
}

// New returns an error of the given kind. The message is formatted by
// fmt.Errorf; an error given for %w becomes the cause.
func New(kind Kind, remedy, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: err.Error(), Remedy: remedy, cause: errors.Unwrap(err)}
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in err's chain, or Internal.
func KindOf(err error) Kind {
	return From(err).Kind
}

// From returns the first Error in err's chain. Any other error is wrapped as
// Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "see the log of the host", cause: err}
}
