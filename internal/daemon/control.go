package daemon

import (
	"context"

	"greengagequay/internal/control"
	"greengagequay/internal/model"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
)

func (d *Daemon) startControl(ctx context.Context) error {
	commits, err := control.OpenFileLog(d.Config.Data, d.Config.RPC, d.Replica)
	if err != nil {
		return err
	}
	d.commits = commits
	if err := d.server.Register("Control", &controlService{d: d}); err != nil {
		return err
	}
	d.run(func() { d.place(ctx) })
	return nil
}

// controlService answers calls from other hosts.
type controlService struct{ d *Daemon }

// Submit commits a change of settings.
func (s *controlService) Submit(c state.Change, out *state.Result) error {
	result, err := s.d.commits.Propose(context.Background(), state.Command{Change: &c})
	*out = result
	return rpc.EncodeError(err)
}

// Announce takes the announcement of a backend server.
func (s *controlService) Announce(b model.Backend, _ *struct{}) error {
	return rpc.EncodeError(s.d.registry.Announce(b, s.d.clock.Now()))
}

// Report takes a host's report and answers with all hosts.
func (s *controlService) Report(h model.Host, out *[]model.Host) error {
	s.d.Members.Heard(h, s.d.clock.Now())
	*out = s.d.Members.Hosts()
	return nil
}
