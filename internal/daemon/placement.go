package daemon

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// placeInterval is the time between two looks at hosts and backend servers.
const placeInterval = 100 * time.Millisecond

// placementMetrics tell what the leading control host does about placement.
type placementMetrics struct {
	deltas  gometrics.Counter // committed
	buckets gometrics.Counter // changed by them
	failed  gometrics.Counter // not committed
	moving  gometrics.Gauge   // buckets that are not stable
	compute gometrics.Gauge   // microseconds for the last delta
}

func (d *Daemon) newPlacementMetrics() placementMetrics {
	return placementMetrics{
		deltas:  d.Metrics.Counter("placement.deltas"),
		buckets: d.Metrics.Counter("placement.buckets_changed"),
		failed:  d.Metrics.Counter("placement.not_committed"),
		moving:  d.Metrics.Gauge("placement.buckets_moving"),
		compute: d.Metrics.Gauge("placement.compute_us"),
	}
}

// place keeps the placement in step with hosts, backend servers and settings
// while this host leads.
func (d *Daemon) place(ctx context.Context) {
	if err := d.server.Register("Placement", &placementService{d: d}); err != nil {
		d.logs.Part("placement").Errorf("reports are not taken: %v", err)
	}
	m := d.newPlacementMetrics()
	var planner *place.Planner
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(placeInterval):
		}
		if _, self := d.commits.Leader(); !self {
			planner = nil // what it remembers is out of date by the next term
			continue
		}
		if planner == nil {
			planner = place.NewPlanner()
		}
		d.placeOnce(ctx, planner, m)
	}
}

// placeOnce computes one delta and commits it.
func (d *Daemon) placeOnce(ctx context.Context, planner *place.Planner, m placementMetrics) {
	begin := d.clock.Now()
	in := d.placeInput(begin)
	delta := planner.Next(in)
	m.compute.Update(d.clock.Now().Sub(begin).Microseconds())
	m.moving.Update(int64(movingBuckets(in.Current)))
	if delta.Empty() {
		return
	}
	result, err := d.commits.Propose(ctx, state.Command{Placement: &delta})
	if err == nil && result.Err != nil {
		err = result.Err
	}
	if err != nil {
		m.failed.Inc(1)
		d.logs.Part("placement").Warnf("placement not committed: %v", err)
		return
	}
	m.deltas.Inc(1)
	m.buckets.Inc(int64(len(delta.SetBuckets)))
}

func (d *Daemon) placeInput(now time.Time) place.Input {
	in := place.Input{Now: now, Backends: d.health.apply(d.registry.Backends())}
	d.Replica.Read(func(s *state.State) {
		in.Tree = s.Tree
		in.TreeRevision = s.SettingsRevision
		in.Current = s.Placement.View()
	})
	for _, h := range d.Members.Hosts() {
		if h.Entry {
			in.Hosts = append(in.Hosts, place.Host{
				Host:         h,
				LeaseExpired: d.Members.LeaseOf(h.Name).Expired,
				Leaving:      h.State == model.Leaving,
			})
		}
	}
	in.Statuses = d.reports.statuses(now)
	in.Flows = d.reports.openFlows(in.Hosts, in.Current.Backends)
	return in
}

func movingBuckets(p *table.Placement) int {
	n := 0
	for _, buckets := range p.Buckets {
		for i := range buckets {
			if buckets[i].Moving() {
				n++
			}
		}
	}
	return n
}
