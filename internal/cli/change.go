package cli

import (
	"context"
	"crypto/rand"

	"greengagequay/internal/api"
	"greengagequay/internal/apiclient"
)

// changeFlags holds the flags of all commands that submit a change.
type changeFlags struct {
	ID      string `help:"Id of the change; use the same id to retry the change safely. Random if absent."`
	Base    *int64 `help:"Settings revision that the change is based on."`
	Message string `help:"Reason for the change." short:"m"`
	DryRun  bool   `help:"Check the change, but do not submit it."`
}

func (f changeFlags) submit(e *env, ops []api.Op) error {
	req := &api.ChangeRequest{ID: f.ID, Ops: ops, Author: api.NewOptString(author()), Message: api.NewOptString(f.Message), DryRun: api.NewOptBool(f.DryRun)}
	if req.ID == "" {
		req.ID = rand.Text()
	}
	if f.Base != nil {
		req.Base.SetTo(*f.Base)
	}
	res, err := callAPI(e, func(client *api.Client, ctx context.Context) (*api.ChangeResult, error) {
		return apiclient.Submit(ctx, client, req)
	})
	if err != nil {
		return err
	}
	return e.print(res, "ID\tREVISION\tREPEATED\tDRY-RUN", [][]any{{res.ID, res.Revision, res.Repeated.Value, res.DryRun.Value}})
}
