package apiclient

import (
	"context"
	"errors"
	"net"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
)

// retryDelay is the delay before a change is retried.
const retryDelay = 300 * time.Millisecond

// Submit submits a change, and retries it until its outcome is known or ctx ends.
// Retries are safe because a change with a given id takes effect only once.
func Submit(ctx context.Context, client *api.Client, req *api.ChangeRequest) (*api.ChangeResult, error) {
	for {
		res, err := client.SubmitChange(ctx, req)
		if err == nil || !isRetryable(err) {
			return res, err
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.OutcomeUnknown, "repeat the command with --id "+req.ID, "the outcome of change %q is unknown: %w", req.ID, err)
		case <-time.After(retryDelay):
		}
	}
}

// isRetryable reports whether a retry of a failed call may get an answer. The call
// may have taken effect already, or another host may be able to answer it.
func isRetryable(err error) bool {
	switch fault.KindOf(Explain(err)) {
	case fault.Unavailable, fault.NotCurrent, fault.Internal, fault.OutcomeUnknown:
		return true
	}
	return false
}

// Explain converts an error of the API client to a fault.Error. It returns an
// unknown error unchanged.
func Explain(err error) error {
	var status *api.ErrorStatusCode
	if errors.As(err, &status) {
		r := status.Response
		return &fault.Error{Kind: fault.Kind(r.Kind), Message: r.Message, Remedy: r.Remedy}
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return fault.New(fault.Unavailable, "check --server and that quayd runs there", "the host does not respond: %w", err)
	}
	return err
}

// ChangedSince returns the changes that a conflict reports.
func ChangedSince(err error) []api.Change {
	var status *api.ErrorStatusCode
	if errors.As(err, &status) {
		return status.Response.Changed
	}
	return nil
}
