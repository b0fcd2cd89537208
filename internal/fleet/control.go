package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/control"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
)

// Times and limits of a control host.
const (
	controlTick = 250 * time.Millisecond
	getTimeout  = 800 * time.Millisecond  // operators give up after a second
	putTimeout  = 2500 * time.Millisecond // an accepted document may still be committed after the operator left
	// noQuorumTimeout is how long a call waits while this host is out of touch
	// with a quorum: an election may be about to end that.
	noQuorumTimeout = 300 * time.Millisecond
	shutdownLimit   = 500 * time.Millisecond
)

// ControlHost keeps the document with the other control hosts and tells entry
// hosts about it and about backend servers.
type ControlHost struct {
	cfg      Config
	log      *eventlog.Log
	metrics  *metrics.Registry
	host     *control.Host
	replica  *replica.Replica
	presence feed.Presence
	links    *links
	feed     *feed.Server
	news     *broadcast
	hint     *hintFile
	client   *rpc.Client
	rpc      *rpc.Server
	server   *http.Server
	started  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex // guards the following
	catalog  *catalog.Catalog
	peers    map[string]feed.Presence // control hosts in touch, by address
	peersRev uint64
	current  bool
	version  uint64 // of the document in force
	seenAt   map[raft.ID]time.Duration
	changing bool // a change of members is on its way
	suspects suspectLog
}

// StartControl starts a control host.
func StartControl(cfg Config, a Adapter, log *eventlog.Log) (*ControlHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &ControlHost{
		cfg: cfg, log: log, metrics: metrics.New(), replica: replica.New(), news: newBroadcast(),
		started: time.Now(), ctx: ctx, cancel: cancel,
		catalog: catalog.New(catalog.Config{Self: cfg.feedAddr(), Interval: cfg.Heartbeat()}),
		peers:   map[string]feed.Presence{}, seenAt: map[raft.ID]time.Duration{},
	}
	if err := h.start(a); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

func (h *ControlHost) start(a Adapter) error {
	if err := h.openLog(); err != nil {
		return err
	}
	h.presence = feed.Presence{
		Name: h.cfg.Name, Zone: h.cfg.Zone, Addr: h.cfg.feedAddr(), Control: true, ID: h.host.Identity().ID,
	}
	h.links = newLinks(h.ctx, h.presence, h.cfg.Via, h)
	h.links.seeds(h.cfg.seedFeeds())
	h.recall()
	listener, err := net.Listen("tcp", h.cfg.feedAddr())
	if err != nil {
		return unavailableAddress("internal", err)
	}
	h.feed = feed.Serve(listener, h)
	api, err := net.Listen("tcp", h.cfg.API)
	if err != nil {
		return unavailableAddress("api", err)
	}
	h.server = &http.Server{Handler: a.Control(h, netip.MustParseAddrPort(h.cfg.API)), ReadHeaderTimeout: time.Second}
	h.metrics.GaugeFunc("control.votes", h.votes)
	h.done.Go(func() { _ = h.server.Serve(api) })
	h.done.Go(h.watchReplica)
	h.done.Go(h.loop)
	serveMetrics(h.ctx, h.cfg.Metrics, h.metrics, h.log)
	return nil
}

func unavailableAddress(field string, err error) error {
	return fault.New(fault.Unavailable, "free the address or correct the field", "field %q: %w", field, err)
}

// now returns the time since the host started.
func (h *ControlHost) now() time.Duration { return time.Since(h.started) }

// Put puts a document in force.
func (h *ControlHost) Put(ctx context.Context, d *document.Document) error {
	ctx, cancel := h.withLimit(context.WithoutCancel(ctx), putTimeout)
	defer cancel()
	held := h.documentVersion()
	outcome := "held"
	var err error
	if d.Version > held {
		began := h.now()
		_, err = h.host.Propose(ctx, state.Command{Document: d})
		outcome = outcomeOf(err)
		if err == nil {
			h.metrics.Timing("control.commit_ms").Update((h.now() - began).Milliseconds())
		}
	}
	h.log.Event("document", "answered an operator's document", eventlog.Fields{
		"version": d.Version, "held": held, "routes": len(d.Routes), "outcome": outcome,
	})
	return err
}

// withLimit bounds a call that needs a quorum. What likely cannot be answered is
// refused early, so that its caller asks another host.
func (h *ControlHost) withLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if !h.host.Status().Current {
		limit = noQuorumTimeout
	}
	return context.WithTimeout(ctx, limit)
}

func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

func (h *ControlHost) documentVersion() uint64 {
	version := uint64(0)
	h.replica.Read(func(s *state.State) {
		if s.Document != nil {
			version = s.Document.Version
		}
	})
	return version
}

// Get returns the newest document.
func (h *ControlHost) Get(ctx context.Context) (*document.Document, error) {
	ctx, cancel := h.withLimit(ctx, getTimeout)
	defer cancel()
	if err := h.host.Current(ctx); err != nil {
		h.log.Event("read", "could not prove which document is the newest", eventlog.Fields{"error": err.Error()})
		return nil, err
	}
	var d *document.Document
	h.replica.Read(func(s *state.State) { d = s.Document })
	if d == nil {
		return nil, fault.New(fault.NotCurrent, "send a document first", "there is no document yet")
	}
	return d, nil
}

// Announce takes a heartbeat of a backend server.
func (h *ControlHost) Announce(b catalog.Heartbeat) {
	h.mu.Lock()
	changed := h.catalog.ReceiveHeartbeat(h.now(), b)
	h.mu.Unlock()
	if changed {
		h.noteBackend("a backend server announced a change", b.ID, b)
		h.news.send()
	}
}

func (h *ControlHost) noteBackend(message, id string, b catalog.Heartbeat) {
	h.log.Event("backend", message, eventlog.Fields{
		"backend": id, "service": b.Service, "address": b.Address, "zone": b.Zone,
		"draining": b.Draining, "sequence": b.Sequence, "born": b.Born,
	})
}

// Leave notes that a backend server has ended.
func (h *ControlHost) Leave(id string, born int64) {
	h.mu.Lock()
	changed := h.catalog.Leave(h.now(), id, born)
	h.mu.Unlock()
	if changed {
		h.log.Event("backend", "a backend server left", eventlog.Fields{"backend": id, "born": born})
		h.news.send()
	}
}

// Malformed notes an announcement that could not be read.
func (h *ControlHost) Malformed(id string, err error) {
	h.metrics.Counter("control.malformed_announcements").Inc(1)
	h.log.Event("malformed", "refused an announcement", eventlog.Fields{"backend": id, "error": err.Error()})
}

// Reload follows changed seeds.
func (h *ControlHost) Reload(cfg Config) { h.links.seeds(cfg.seedFeeds()) }

// Stop ends the host. Another one leads first, if there is one.
func (h *ControlHost) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if h.host != nil {
		h.host.TransferLeadership(ctx)
	}
	if h.server != nil {
		_ = h.server.Shutdown(ctx) // what is left ends with the process
	}
	h.cancel()
	if h.feed != nil {
		h.feed.Close()
	}
	if h.rpc != nil {
		h.rpc.Close()
	}
	if h.host != nil {
		if err := h.host.Close(); err != nil && !errors.Is(err, context.Canceled) {
			h.log.Event("stop", "the log did not close cleanly", eventlog.Fields{"error": err.Error()})
		}
	}
	if h.client != nil {
		h.client.Close()
	}
	h.done.Wait()
}
