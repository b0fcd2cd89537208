package emulator

import (
	"context"
	"encoding/json"
	"fmt"

	"greengagequay/internal/api"
	"greengagequay/internal/apiclient"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// CreateServices creates the services through the API of a host.
func (f *Fleet) CreateServices(ctx context.Context, host int) error {
	zones, err := json.Marshal(f.zones())
	if err != nil {
		return fmt.Errorf("encode zones: %w", err)
	}
	var ops []Op
	for _, s := range f.Services {
		path := settings.Path(s.Name)
		ops = append(ops,
			SetOp(path, settings.ServiceZones, string(zones)),
			SetOp(path, settings.ServiceAddresses, fmt.Sprintf(`["%s/tcp"]`, s.Address)))
	}
	_, err = f.Change(ctx, host, "services", ops)
	return err
}

// Op is one operation of a change.
type Op = api.Op

// Setting returns the value of a setting that is in force on a host, as JSON. It
// is empty if the host knows no such setting.
func (f *Fleet) Setting(host int, path, key string) (raw string) {
	f.Host(host).Replica.Read(func(s *state.State) {
		if v, err := s.Tree.Effective(path, key); err == nil {
			raw = v.Raw
		}
	})
	return raw
}

// SetOp returns the operation that sets a value.
func SetOp(path, key, value string) Op {
	return Op{Action: api.OpActionSet, Path: path, Key: key, Value: api.NewOptString(value)}
}

// Change submits a change through the API of a host, and retries it until
// its outcome is known.
func (f *Fleet) Change(ctx context.Context, host int, id string, ops []Op) (*api.ChangeResult, error) {
	client, err := apiclient.New(apiclient.Options{Server: f.Host(host).Config.API})
	if err != nil {
		return nil, err
	}
	req := &api.ChangeRequest{ID: id, Ops: ops, Author: api.NewOptString("emulator")}
	return apiclient.Submit(ctx, client, req)
}
