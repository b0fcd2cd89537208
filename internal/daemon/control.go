package daemon

import (
	"context"
	"time"

	"greengagequay/internal/control"
	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// placeInterval is the time between two looks at hosts and backend servers.
const placeInterval = 100 * time.Millisecond

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

// place keeps the placement in step with hosts, backend servers and settings.
func (d *Daemon) place(ctx context.Context) {
	log := d.logs.Part("placement")
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(placeInterval):
		}
		now := d.clock.Now()
		d.Members.Expire(now)
		d.registry.Expire(now)
		if _, self := d.commits.Leader(); !self {
			continue
		}
		delta := d.nextPlacement()
		if delta.Empty() {
			continue
		}
		if _, err := d.commits.Propose(ctx, state.Command{Placement: &delta}); err != nil {
			log.Warnf("placement not committed: %v", err)
		}
	}
}

func (d *Daemon) nextPlacement() table.Delta {
	var in place.Input
	d.Replica.Read(func(s *state.State) {
		in.Tree = s.Tree
		in.Current = s.Placement.Clone()
	})
	for _, h := range d.Members.Hosts() {
		if h.Entry && (h.State == model.Alive || h.State == model.Suspect) {
			in.Hosts = append(in.Hosts, h)
		}
	}
	for _, b := range d.registry.Backends() {
		if b.State != model.Gone {
			in.Backends = append(in.Backends, b)
		}
	}
	return place.Next(in)
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
