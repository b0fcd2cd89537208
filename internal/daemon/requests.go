package daemon

import (
	"context"
	"net/http"
	"time"

	"greengagequay/internal/entry"
	"greengagequay/internal/homes"
)

// homesHandOverTimeout is the time limit for handing over slots and request keys
// when this host leaves.
const homesHandOverTimeout = 5 * time.Second

func (d *Daemon) startRequests(context.Context) error {
	d.homes = homes.New(homes.Config{
		Name: d.Config.Name, Incarnation: d.incarnation, Replica: d.Replica,
		Client: d.client, Clock: d.clock, StateConfirmedAt: d.stateConfirmedAt,
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

// stateConfirmedAt returns when the state of this host was last known to be current, or
// the zero time if it never was.
func (d *Daemon) stateConfirmedAt() time.Time {
	now := d.clock.Now()
	age, ok := d.stateAge(now)
	if !ok {
		return time.Time{}
	}
	return now.Add(-age)
}

// handOverHomes announces that this host is leaving and waits until other hosts
// have taken over its slots and request keys, or until homesHandOverTimeout has
// passed. Requests are still served in the meantime.
func (d *Daemon) handOverHomes(ctx context.Context) {
	if d.homes == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, homesHandOverTimeout)
	defer cancel()
	d.Members.SetLeaving()
	for ctx.Err() == nil && !d.homes.HandedOver() {
		d.sleep(ctx, flowInterval)
	}
}

// Ready reports whether this host serves the slots and request keys whose home it
// is.
func (d *Daemon) Ready() bool { return d.homes == nil || d.homes.Ready() }
