package daemon

import (
	"context"
	"net/http"
	"time"

	"greengagequay/internal/entry"
	"greengagequay/internal/homes"
)

// handOverLimit is the longest hand-over of slots and once-only records.
const handOverLimit = 5 * time.Second

func (d *Daemon) startRequests(context.Context) error {
	d.homes = homes.New(homes.Config{
		Name: d.Config.Name, Incarnation: d.incarnation, Replica: d.Replica,
		Client: d.client, Clock: d.clock, Confirmed: d.confirmed,
	})
	if err := d.server.Register("Homes", d.homes.Service()); err != nil {
		return err
	}
	d.background.Go(d.homes.Run)
	handler := entry.NewRequests(d.Replica, d.homes, d.health, d.Metrics, d.clock)
	d.requests = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.background.Go(func() { d.serveHTTP(d.requests, d.bound.requests) })
	return nil
}

// confirmed returns when the state of this host was last known to be current.
func (d *Daemon) confirmed() time.Time {
	now := d.clock.Now()
	age, ok := d.stateAge(now)
	if !ok {
		return time.Time{}
	}
	return now.Add(-age)
}

// leaveHomes announces that this host leaves and waits until other hosts have
// taken its slots and once-only records over. Requests are served meanwhile.
func (d *Daemon) leaveHomes(ctx context.Context) {
	if d.homes == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	d.Members.SetLeaving()
	for ctx.Err() == nil && !d.homes.HandedOver() {
		d.pause(ctx, flowInterval)
	}
}

// Ready reports whether this host serves the slots and once-only records whose
// home it is.
func (d *Daemon) Ready() bool { return d.homes == nil || d.homes.Ready() }
