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

// placementInterval is the time between two updates of the placement.
const placementInterval = 100 * time.Millisecond

// placementMetrics are the metrics of the leading control host's placement work.
type placementMetrics struct {
	deltas  gometrics.Counter // committed deltas
	buckets gometrics.Counter // buckets changed by committed deltas
	failed  gometrics.Counter // deltas that were not committed
	moving  gometrics.Gauge   // buckets that are not stable
	compute gometrics.Gauge   // microseconds taken to compute the last delta
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

// runPlacement keeps the placement up to date with the hosts, backend servers and
// settings while this host leads.
func (d *Daemon) runPlacement(ctx context.Context) {
	if err := d.server.Register("Placement", &placementService{d: d}); err != nil {
		d.logs.Component("placement").Errorf("this host receives no flow reports: %v", err)
	}
	m := d.newPlacementMetrics()
	var planner *place.Planner
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(placementInterval):
		}
		if _, self := d.controlHost.Leader(); !self {
			planner = nil // its soft state will be stale in the next term
			continue
		}
		if planner == nil {
			planner = place.NewPlanner()
		}
		d.updatePlacement(ctx, planner, m)
	}
}

// updatePlacement computes a delta, the next changes of the placement, and commits
// it unless it is empty.
func (d *Daemon) updatePlacement(ctx context.Context, planner *place.Planner, m placementMetrics) {
	begin := d.clock.Now()
	in := d.placementInput(begin)
	delta := planner.Next(in)
	m.compute.Update(d.clock.Now().Sub(begin).Microseconds())
	m.moving.Update(int64(movingBuckets(in.Current)))
	if delta.Empty() {
		return
	}
	result, err := d.controlHost.Propose(ctx, state.Command{Placement: &delta})
	if err == nil && result.Err != nil {
		err = result.Err
	}
	if err != nil {
		m.failed.Inc(1)
		d.logs.Component("placement").Warnf("the new placement was not committed: %v", err)
		return
	}
	m.deltas.Inc(1)
	m.buckets.Inc(int64(len(delta.SetBuckets)))
}

func (d *Daemon) placementInput(now time.Time) place.Input {
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
