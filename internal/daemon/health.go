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

// Times of the health checks.
const (
	healthInterval = 250 * time.Millisecond
	probeTimeout   = time.Second
)

// sharedHealth makes the health core safe for concurrent use by the data path, the
// gossip and the placement. The core holds this host's evidence about backend
// servers, and the votes of all hosts on which of them are bad.
type sharedHealth struct {
	d       *Daemon
	mu      sync.Mutex
	core    *health.Core
	ejected gometrics.Counter
	probes  gometrics.Counter
}

func (d *Daemon) openHealth() {
	d.health = &sharedHealth{
		d: d, ejected: d.Metrics.Counter("health.ejected"), probes: d.Metrics.Counter("health.probes"),
		core: health.New(health.Options{Host: d.Config.Name, Zone: d.Config.Zone, EjectShare: d.ejectShare}),
	}
}

// ejectShare returns the largest share of a service's backend servers that may be
// ejected.
func (d *Daemon) ejectShare(service string) (share float64) {
	d.Replica.Read(func(s *state.State) {
		share = s.Tree.Float(settings.Path(service), settings.BackendEjectShare)
	})
	return share
}

// Observe records what the data path saw of a backend server.
func (h *sharedHealth) Observe(id string, o health.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Observe(h.d.clock.Now(), id, o)
}

// Share returns the fraction of its weight that a backend server should get.
func (h *sharedHealth) Share(id string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Share(h.d.clock.Now(), id)
}

// apply returns the backend servers in the states that the placement uses. Ready
// ones that are ejected, or silent because their announcements have stopped, become
// draining. Silent ones that are bad according to the votes become gone.
func (h *sharedHealth) apply(list []model.Backend) []model.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Apply(list)
}

// run evaluates the evidence, publishes votes and starts probes until ctx ends.
func (h *sharedHealth) run(ctx context.Context) {
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
			h.handleEvent(e)
		}
		h.d.sleep(ctx, healthInterval)
	}
}

// probe opens a connection to the backend server, closes it and records the outcome.
func (h *sharedHealth) probe(ctx context.Context, b model.Backend) {
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

func (h *sharedHealth) handleEvent(e health.Event) {
	log := h.d.logs.Component("health").With("service", e.Service)
	switch {
	case e.Ejected:
		h.ejected.Inc(1)
		log.Warnf("backend server %s is ejected", e.Backend)
	case e.Returned:
		log.Infof("backend server %s is no longer ejected", e.Backend)
	case e.FailOpen:
		log.Warnf("the share of unhealthy backend servers exceeds backend.eject_share; the excess stays in use")
	default:
		log.Infof("the share of unhealthy backend servers is within backend.eject_share again")
	}
}

// receiveItem handles a vote that another host published.
func (h *sharedHealth) receiveItem(i member.Item) error {
	h.mu.Lock()
	items, err := h.core.ReceiveVote(h.d.clock.Now(), i)
	h.mu.Unlock()
	if len(items) > 0 { // Publish must not run within the gossip's callback
		h.d.background.Go(func() { h.d.Members.Publish(slices.Clone(items)...) })
	}
	return err
}

func isVote(i member.Item) bool { return strings.HasPrefix(i.Key, health.KeyPrefix) }
