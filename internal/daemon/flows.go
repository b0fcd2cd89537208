package daemon

import (
	"context"
	"sync"
	"time"

	"greengagequay/internal/entry"
	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/route"
	"greengagequay/internal/rpc"
	"greengagequay/internal/table"
)

// forwarders is the number of goroutines that route packets of one socket.
const forwarders = 2

// Limits and times of the flow records.
const (
	maxRecords          = 1 << 20                // records that this host stores at most
	flowInterval        = 100 * time.Millisecond // time between two steps of the replicator
	expireInterval      = time.Second            // time between two removals of the records of idle flows
	flowHandOverTimeout = 5 * time.Second        // time limit for handing over buckets when this host leaves
)

// flows forwards packets on an entry host and replicates the records of their
// flows.
type flows struct {
	d         *Daemon
	router    *route.Router
	forwarder *entry.Forwarder
	views     viewCache
	times     flowTimes

	mu         sync.Mutex // guards replicator
	replicator *route.Replicator
}

func (d *Daemon) startFlows(ctx context.Context) error {
	f := &flows{d: d, router: route.NewRouter(maxRecords)}
	f.times.refresh(d)
	f.replicator = route.NewReplicator(f.router, f.times.idle)
	f.views.init(d, f.router)
	f.forwarder = entry.NewForwarder(entry.Options{
		Fabric:       entry.NewUDPFabric(d.bound.packets),
		Relay:        entry.NewUDPFabric(d.bound.relay),
		Router:       f.router,
		StallTimeout: f.times.stall,
		View:         f.views.view,
		Now:          d.clock.Now,
		Metrics:      d.Metrics,
	})
	d.flows = f
	if err := d.server.Register("Flows", &flowService{f: f}); err != nil {
		return err
	}
	for range forwarders {
		d.background.Go(f.forwarder.Serve)
		d.background.Go(f.forwarder.ServeRelay)
	}
	d.background.Go(func() { f.run(ctx) })
	return nil
}

// run copies records to other hosts and removes those of idle flows until ctx
// ends.
func (f *flows) run(ctx context.Context) {
	size := f.d.Metrics.Gauge("flows.records")
	lastExpiry := f.d.clock.Now()
	for ctx.Err() == nil {
		f.d.sleep(ctx, flowInterval)
		now := f.d.clock.Now()
		f.views.refresh(now)
		f.mu.Lock()
		copies := f.replicator.Step(now, f.views.view())
		f.mu.Unlock()
		for _, c := range copies {
			f.send(ctx, c)
		}
		if now.Sub(lastExpiry) >= expireInterval {
			lastExpiry = now
			f.times.refresh(f.d)
			f.expire()
		}
		size.Update(int64(f.router.Records.Len()))
	}
}

// closingIdle is the idle timeout of a flow that its client has ended.
const closingIdle records.Seconds = 60

func (f *flows) expire() {
	view := f.views.view()
	f.router.Records.Expire(f.forwarder.Seconds(), func(n table.BackendNum, flags records.Flag) records.Seconds {
		if flags&records.Closing != 0 {
			return closingIdle
		}
		return records.Seconds(f.times.idle(view.Table.Backends[n].Service) / time.Second)
	})
}

// send sends a copy of records to another host.
func (f *flows) send(ctx context.Context, c route.Copy) {
	host, ok := f.views.view().Table.Hosts[c.To]
	if !ok {
		return
	}
	f.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if f.d.client.Call(ctx, host.RPC, "Flows.Install", c.Batch, &struct{}{}) != nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.replicator.Acked(f.d.clock.Now(), c)
	})
}

// FlowReport is an entry host's report on the moving buckets whose home it is, and
// on the stable buckets whose home it must become.
type FlowReport struct {
	Buckets []records.BucketStatus
}

// flowService serves the RPC service Flows to other hosts.
type flowService struct{ f *flows }

// Install stores records that another host copied to this one.
func (s *flowService) Install(b records.Batch, _ *struct{}) error {
	if b.Override {
		s.f.interrupted(route.BucketID{Service: b.Service, Index: b.Bucket})
	}
	return rpc.EncodeError(s.f.router.Install(s.f.forwarder.Seconds(), b))
}

// Report returns this host's flow report.
func (s *flowService) Report(_ struct{}, out *FlowReport) error {
	*out = s.f.report()
	return nil
}

// interrupted is called when a host that was cut off sends its records of a bucket.
// If this host is the bucket's home, it may not have seen all packets that the other
// host handled while that host was cut off, and must again see every packet for the
// idle timeout before a move of the bucket can end.
func (f *flows) interrupted(id route.BucketID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicator.Interrupted(f.d.clock.Now(), id)
}

func (f *flows) report() FlowReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FlowReport{Buckets: f.replicator.Status(f.d.clock.Now())}
}

// handOverFlows hands over the buckets whose home this host is: it announces that
// it is leaving and waits until no live entry host's table names it as the home of
// a moving bucket, or until flowHandOverTimeout has passed.
func (d *Daemon) handOverFlows(ctx context.Context) {
	if d.flows == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flowHandOverTimeout)
	defer cancel()
	d.Members.SetLeaving()
	for ctx.Err() == nil && d.flows.isHomeOfMovingBucket() {
		d.sleep(ctx, flowInterval)
	}
	revision := d.Replica.Revision()
	for ctx.Err() == nil && !d.inForce(revision) {
		d.sleep(ctx, flowInterval)
	}
}

// isHomeOfMovingBucket reports whether this host is the home of a moving bucket.
func (f *flows) isHomeOfMovingBucket() bool {
	view := f.views.view()
	for _, svc := range view.Table.ByName {
		for i := range svc.Buckets {
			if svc.Buckets[i].Moving() && svc.Buckets[i].Home == view.Self() {
				return true
			}
		}
	}
	return false
}

// inForce reports whether the revision is in force on all entry hosts that are
// alive, as far as this host knows.
func (d *Daemon) inForce(revision uint64) bool {
	for _, h := range d.Members.Hosts() {
		if h.Entry && h.State == model.Alive && h.Revision < revision {
			return false
		}
	}
	return true
}
