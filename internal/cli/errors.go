package cli

import (
	"errors"
	"net"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
)

// explain turns an error of the API client into a typed one.
func explain(err error) error {
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

// changedSince returns the changes that a conflict reports.
func changedSince(err error) []api.Change {
	var status *api.ErrorStatusCode
	if errors.As(err, &status) {
		return status.Response.Changed
	}
	return nil
}
