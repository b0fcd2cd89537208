package daemon

import (
	"context"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// placeInterval is the time between two looks at hosts and backend servers.
const placeInterval = 100 * time.Millisecond

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
