package daemon

import (
	"context"
	"time"

	"greengagequay/internal/model"
)

// reportInterval is the time between two reports to the control hosts.
const reportInterval = 500 * time.Millisecond

func (d *Daemon) startMembers(ctx context.Context) {
	d.run(func() { d.report(ctx) })
}

// report tells the control hosts about this host and learns of the others.
func (d *Daemon) report(ctx context.Context) {
	for ctx.Err() == nil {
		_ = d.eachControl(ctx, func(ctx context.Context, addr string) error {
			var hosts []model.Host
			sent := d.clock.Now()
			if err := d.client.Call(ctx, addr, "Control.Report", d.self(), &hosts); err != nil {
				return err
			}
			d.lastAnswer.Store(sent.UnixMilli())
			if d.commits == nil {
				d.Members.Replace(hosts, d.clock.Now())
			}
			return nil
		})
		d.pause(ctx, reportInterval)
	}
}

// Announce passes an announcement on to the control hosts.
func (d *Daemon) Announce(ctx context.Context, b model.Backend) error {
	return d.eachControl(ctx, func(ctx context.Context, addr string) error {
		return d.client.Call(ctx, addr, "Control.Announce", b, &struct{}{})
	})
}
