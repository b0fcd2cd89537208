package apiclient

import (
	"context"
	"errors"
	"net"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
)

// repeatPause is the pause before a change without an answer is sent again.
const repeatPause = 300 * time.Millisecond

// Submit submits a change until it has an answer or ctx ends. The id of the
// change makes that safe: it takes effect once.
func Submit(ctx context.Context, client *api.Client, req *api.ChangeRequest) (*api.ChangeResult, error) {
	for {
		res, err := client.SubmitChange(ctx, req)
		if err == nil || !isLost(err) {
			return res, err
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.OutcomeUnknown, "repeat the command with --id "+req.ID, "change %q had no answer: %w", req.ID, err)
		case <-time.After(repeatPause):
		}
	}
}

// isLost reports whether a failed call may have taken effect all the same, or
// may be answered by another host.
func isLost(err error) bool {
	switch fault.KindOf(Explain(err)) {
	case fault.Unavailable, fault.NotCurrent, fault.Internal, fault.OutcomeUnknown:
		return true
	}
	return false
}

// Explain turns an error of the API client into a typed one.
func Explain(err error) error {
	var status *api.ErrorStatusCode
	if errors.As(err, &status) {
		r := status.Response
		return &fault.Error{Kind: fault.Kind(r.Kind), Message: r.Message, Remedy: r.Remedy}
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return fault.New(fault.Unavailable, "check --server and that quayd runs there", "host does not answer: %w", err)
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
