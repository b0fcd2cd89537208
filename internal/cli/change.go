package cli

import (
	"context"
	"crypto/rand"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
)

// repeatPause is the pause before a change without an answer is sent again.
const repeatPause = 300 * time.Millisecond

// changeFlags are shared by all commands that submit a change.
type changeFlags struct {
	ID      string `help:"Id of the change; repeat it to repeat the change safely. Chosen at random if absent."`
	Base    *int64 `help:"Settings revision that the change is based on."`
	Message string `help:"Why the change is made." short:"m"`
	DryRun  bool   `help:"Check the change, but do not submit it."`
}

func (f changeFlags) submit(e *env, ops []api.Op) error {
	client, ctx, cancel, err := e.client()
	if err != nil {
		return err
	}
	defer cancel()
	req := &api.ChangeRequest{ID: f.ID, Ops: ops, Author: api.NewOptString(author()), Message: api.NewOptString(f.Message), DryRun: api.NewOptBool(f.DryRun)}
	if req.ID == "" {
		req.ID = rand.Text()
	}
	if f.Base != nil {
		req.Base.SetTo(*f.Base)
	}
	res, err := submitRepeatedly(ctx, client, req)
	if err != nil {
		return err
	}
	return e.print(res, "ID\tREVISION\tREPEATED\tDRY-RUN", [][]any{{res.ID, res.Revision, res.Repeated.Value, res.DryRun.Value}})
}

// submitRepeatedly submits a change until it has an answer or ctx ends. The
// id of the change makes that safe: it takes effect once.
func submitRepeatedly(ctx context.Context, client *api.Client, req *api.ChangeRequest) (*api.ChangeResult, error) {
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
	switch fault.KindOf(explain(err)) {
	case fault.Unavailable, fault.NotCurrent, fault.Internal, fault.OutcomeUnknown:
		return true
	}
	return false
}
