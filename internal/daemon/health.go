package daemon

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/health"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// Times of health.
const (
	healthInterval = 250 * time.Millisecond
	probeTimeout   = time.Second
)

// healthView shares the health core between the data path, the gossip and the
// controllers. It is safe for concurrent use.
type healthView struct {
	d       *Daemon
	mu      sync.Mutex
	core    *health.Core
	ejected gometrics.Counter
	probes  gometrics.Counter
}

func (d *Daemon) openHealth() {
	d.health = &healthView{
		d: d, ejected: d.Metrics.Counter("health.ejected"), probes: d.Metrics.Counter("health.probes"),
		core: health.New(health.Options{Host: d.Config.Name, Zone: d.Config.Zone, EjectShare: d.ejectShare}),
	}
}

func (d *Daemon) ejectShare(service string) (share float64) {
	d.Replica.Read(func(s *state.State) {
		share = s.Tree.Float(settings.Path(service), settings.BackendEjectShare)
	})
	return share
}

// Observe notes what the data path saw of a backend server.
func (h *healthView) Observe(id string, o health.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Observe(h.d.clock.Now(), id, o)
}

// Share returns the part of its weight that a backend server should get.
func (h *healthView) Share(id string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Share(h.d.clock.Now(), id)
}

// apply returns the backend servers with those that are ejected draining.
func (h *healthView) apply(list []model.Backend) []model.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Apply(list)
}

// run weighs the evidence until ctx ends.
func (h *healthView) run(ctx context.Context) {
	for ctx.Err() == nil {
		backends, hosts := h.d.registry.Backends(), h.d.Members.Hosts()
		h.mu.Lock()
		out := h.core.Tick(h.d.clock.Now(), backends, hosts)
		h.mu.Unlock()
		for _, b := range out.Probe {
			h.d.background.Go(func() { h.probe(ctx, b) })
		}
		h.d.Members.Publish(out.Items...)
		for _, e := range out.Events {
			h.report(e)
		}
		h.d.pause(ctx, healthInterval)
	}
}

// probe opens a connection to the backend server and closes it.
func (h *healthView) probe(ctx context.Context, b model.Backend) {
	addr := b.Request
	if !addr.IsValid() {
		addr = b.Stream
	}
	h.probes.Inc(1)
	dialer := net.Dialer{Timeout: probeTimeout}
	start := h.d.clock.Now()
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err == nil {
		_ = conn.Close()
	}
	outcome, known := health.OutcomeOf(err, ctx.Err(), h.d.clock.Now().Sub(start))
	if !known {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.ObserveProbe(h.d.clock.Now(), b.ID, outcome)
}

func (h *healthView) report(e health.Event) {
	log := h.d.logs.Part("health").With("service", e.Service)
	switch {
	case e.Ejected:
		h.ejected.Inc(1)
		log.Warnf("backend server %s is ejected", e.Backend)
	case e.Returned:
		log.Infof("backend server %s returns", e.Backend)
	case e.FailOpen:
		log.Warnf("more backend servers are bad than backend.eject_share lets go, the rest stay in use")
	default:
		log.Infof("no more backend servers are bad than may be ejected")
	}
}

// take stores a vote that another host has spread.
func (h *healthView) take(i member.Item) error {
	h.mu.Lock()
	items, err := h.core.ReceiveVote(h.d.clock.Now(), i)
	h.mu.Unlock()
	if len(items) > 0 { // not from within the gossip's callback
		h.d.background.Go(func() { h.d.Members.Publish(slices.Clone(items)...) })
	}
	return err
}

func isVote(i member.Item) bool { return strings.HasPrefix(i.Key, health.KeyPrefix) }
