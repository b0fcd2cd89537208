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
	"greengagequay/internal/pace"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
	"greengagequay/internal/warmup"
)

// Intervals and timeouts of a control host.
const (
	controlTick = 250 * time.Millisecond
	getTimeout  = 800 * time.Millisecond  // less than the 1 s after which operators give up
	putTimeout  = 2500 * time.Millisecond // a document may still be committed after the operator gave up
	// noQuorumTimeout is how long a call waits if this host does not reach a
	// quorum, since an election may be in progress.
	noQuorumTimeout = 300 * time.Millisecond
	shutdownTimeout = 500 * time.Millisecond
)

// ControlHost replicates the document with the other control hosts, and sends it
// and the records of backend servers to entry hosts.
type ControlHost struct {
	cfg          Config
	features     Features
	log          *eventlog.Log
	metrics      *metrics.Registry
	host         *control.Host
	replica      *replica.Replica
	info         feed.HostInfo
	controlHosts *controlHosts
	feed         *feed.Server
	changes      *notifier
	entryHosts   *entryHosts
	entryHistory *entryHostHistory
	hint         *hintFile[catalog.Record]
	entriesHint  *hintFile[knownEntryHost]
	client       *rpc.Client
	rpc          *rpc.Server
	server       *http.Server
	started      time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	done         sync.WaitGroup

	mu               sync.Mutex // guards the following
	catalog          *catalog.Catalog
	peers            map[string]feed.HostInfo // control hosts that this host follows, by feed address
	peersRevision    uint64
	current          bool            // whether this host reached a quorum at the last tick
	version          uint64          // version of the document in force
	services         map[string]bool // services that it names, nil before the first document
	early            earlyAnnouncements
	documents        recentDocuments
	lastConnectedAt  map[raft.ID]time.Duration // when each control host was last connected, or first known as a member
	changeInProgress bool                      // whether a membership change is in progress
	suspects         suspectLog
	cold             coldServices
	shares           sharePool
	zones            zonePlanner
	orders           orderLog
	// published, publishedLevels and publishedFollowers are the revisions that followers
	// are told of, see enablePublishing.
	published          uint64
	publishedLevels    uint64
	publishedFollowers uint64
}

// StartControl starts a control host. It returns an error if the host cannot read its data
// folder or listen at its addresses; nothing runs then.
func StartControl(cfg Config, a Adapter, log *eventlog.Log) (*ControlHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &ControlHost{
		cfg: cfg, features: a.Features(cfg.Contracts), log: log, metrics: metrics.New(), replica: replica.New(), changes: newNotifier(), entryHosts: newEntryHosts(),
		entryHistory: newEntryHostHistory(),
		started:      time.Now(), ctx: ctx, cancel: cancel,
		catalog: catalog.New(catalog.Config{Self: cfg.feedAddr(), Interval: cfg.Heartbeat(), ColdBound: coldBound(cfg, a) != warmup.Bound{}}),
		cold:    coldServices{bound: coldBound(cfg, a)}, early: earlyAnnouncements{},
		peers: map[string]feed.HostInfo{}, lastConnectedAt: map[raft.ID]time.Duration{},
		shares: sharePool{pool: pace.NewPool()}, zones: newZonePlanner(),
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
	h.info = feed.HostInfo{
		Name: h.cfg.Name, Zone: h.cfg.Zone, Addr: h.cfg.feedAddr(), Control: true, ID: h.host.Identity().ID,
	}
	h.controlHosts = newControlHosts(h.ctx, h.info, h.cfg.Via, h)
	h.controlHosts.setSeeds(h.cfg.seedFeedAddrs())
	h.loadHint()
	if h.features.FastStart {
		h.loadEntriesHint()
		h.enablePublishing()
	}
	h.restoreEvacuations()
	listener, err := net.Listen("tcp", h.cfg.feedAddr())
	if err != nil {
		return listenError("internal", err)
	}
	h.feed = feed.Serve(listener, h)
	if h.features.FastStart {
		h.done.Go(h.sendInvitations)
	}
	api, err := net.Listen("tcp", h.cfg.API)
	if err != nil {
		return listenError("api", err)
	}
	h.server = &http.Server{Handler: a.Control(h, netip.MustParseAddrPort(h.cfg.API)), ReadHeaderTimeout: time.Second}
	h.metrics.GaugeFunc("control.votes", h.votes)
	h.metrics.GaugeFunc("control.early_announcements", h.earlyCount)
	h.done.Go(func() { _ = h.server.Serve(api) })
	h.done.Go(h.watchReplica)
	h.done.Go(h.loop)
	h.startEvacuations()
	serveMetrics(h.ctx, h.cfg.Metrics, h.metrics, h.log, h.evacuationRoutes)
	return nil
}

func listenError(field string, err error) error {
	return fault.New(fault.Unavailable, "free the address or correct the field", "field %q: %w", field, err)
}

// now returns the time since the host started.
func (h *ControlHost) now() time.Duration { return time.Since(h.started) }

// Put commits a document and returns once it is durable on a quorum. A document
// that is not newer than the committed one is accepted without effect.
func (h *ControlHost) Put(ctx context.Context, d *document.Document) error {
	ctx, cancel := h.withTimeout(context.WithoutCancel(ctx), putTimeout)
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

// MalformedDocument counts and logs a document that is invalid or could not be parsed.
func (h *ControlHost) MalformedDocument(err error) {
	h.metrics.Counter("control.malformed_documents").Inc(1)
	h.log.Event("document", "refused an operator's document", eventlog.Fields{"error": err.Error()})
}

// withTimeout sets the timeout of a call that needs a quorum. It is short if this
// host does not reach a quorum, so that the caller asks another host early.
func (h *ControlHost) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if !h.host.Status().Current {
		timeout = noQuorumTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

func outcomeOf(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// document returns the document in the replica, or nil if there is none.
func (h *ControlHost) document() *document.Document {
	var d *document.Document
	h.replica.Read(func(s *state.State) { d = s.Document })
	return d
}

// documentVersion returns the version of the document in the replica, or 0 if it
// has none.
func (h *ControlHost) documentVersion() uint64 {
	if d := h.document(); d != nil {
		return d.Version
	}
	return 0
}

// Get returns the newest document. It fails if this host cannot prove which one is
// the newest, or if there is none.
func (h *ControlHost) Get(ctx context.Context) (*document.Document, error) {
	ctx, cancel := h.withTimeout(ctx, getTimeout)
	defer cancel()
	if err := h.host.Current(ctx); err != nil {
		h.log.Event("read", "could not prove which document is the newest", eventlog.Fields{"error": err.Error()})
		return nil, err
	}
	d := h.document()
	if d == nil {
		return nil, fault.New(fault.NotCurrent, "send a document first", "there is no document yet")
	}
	return d, nil
}

// Reload applies changed seeds.
func (h *ControlHost) Reload(cfg Config) { h.controlHosts.setSeeds(cfg.seedFeedAddrs()) }

// Stop ends the host. If it leads, it first hands leadership over to another
// control host.
func (h *ControlHost) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if h.host != nil {
		h.host.TransferLeadership(ctx)
	}
	if h.server != nil {
		_ = h.server.Shutdown(ctx) // calls that are not done by then end with the process
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
			h.log.Event("stop", "could not close the replicated log", eventlog.Fields{"error": err.Error()})
		}
	}
	if h.client != nil {
		h.client.Close()
	}
	h.done.Wait()
}
