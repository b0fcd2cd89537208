package fleet

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/steering"
	"greengagequay/internal/warmup"
)

// Intervals of an entry host.
const (
	entryTick           = 500 * time.Millisecond
	coldTick            = 20 * time.Millisecond // until the host knows enough to place flows
	leavingGraceDivisor = 2                     // the readiness check fails for 1/2 of the grace period before the host stops
)

// EntryHost forwards packets of callers to backend servers.
type EntryHost struct {
	cfg          Config
	features     Features
	log          *eventlog.Log
	metrics      *metrics.Registry
	format       PacketFormat
	controlHosts *controlHosts
	conn         *net.UDPConn
	sender       *sender
	server       *http.Server
	started      time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	done         sync.WaitGroup
	counts       packetCounts
	held         *heldPackets // nil without Features.FastStart
	invitations  *net.UDPConn // nil if the host does not listen for invitations
	flows        *flowTracker // nil without Features.Pace

	mu           sync.Mutex // guards the following
	steerer      *steering.Steerer
	catalog      *catalog.Catalog
	documents    map[string]*document.Document // the last document of each followed control host, by its address
	levels       shareLevels
	plans        zonePlans
	pauses       pauses
	lastUpdateAt time.Duration // when the last update arrived from a control host that has sent its state
	leaving      bool
	pacer        rebuildPacer
	rebuildSet   bool // whether a timer will build a table
}

func StartEntry(cfg Config, a Adapter, log *eventlog.Log) (*EntryHost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &EntryHost{
		cfg: cfg, features: a.Features(cfg.Contracts), log: log, metrics: metrics.New(), format: a.Packets(), started: time.Now(), ctx: ctx, cancel: cancel,
		catalog:   catalog.New(catalog.Config{Interval: cfg.Heartbeat(), ColdBound: coldBound(cfg, a) != warmup.Bound{}}),
		documents: map[string]*document.Document{}, levels: shareLevels{},
	}
	h.steerer = steering.New(steering.Config{
		Zone: cfg.Zone, DrainFallback: cfg.drainFallback(), Host: cfg.feedAddr(), ColdBound: coldBound(cfg, a),
		Shares: h.features.Pace, Random: newRandom(), Evacuations: h.features.Evacuations,
	})
	h.counts = newPacketCounts(h.metrics)
	if h.features.FastStart {
		h.held = newHeldPackets(h.metrics)
	}
	if h.features.Pace {
		h.flows = newFlowTracker(cfg, h.format, h.metrics)
	}
	h.controlHosts = newControlHosts(ctx, feed.HostInfo{Name: cfg.Name, Zone: cfg.Zone, Addr: cfg.feedAddr()}, cfg.Via, h)
	if h.features.FastStart {
		h.controlHosts.syncPause, h.controlHosts.stallPause = warmSyncPause, coldStallPause
	}
	h.controlHosts.setSeeds(cfg.seedFeedAddrs())
	if err := h.start(a); err != nil {
		h.stopNow()
		return nil, err
	}
	return h, nil
}

func (h *EntryHost) start(a Adapter) error {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(h.cfg.Packets)))
	if err != nil {
		return listenError("packets", err)
	}
	h.conn = packets
	h.sender = newSender(packets, h.cfg.LinkMbps, h.log, h.metrics, h.now)
	ready, err := net.Listen("tcp", h.cfg.Ready)
	if err != nil {
		return listenError("ready", err)
	}
	h.server = &http.Server{Handler: a.Readiness(h.ready), ReadHeaderTimeout: time.Second}
	h.done.Go(func() { _ = h.server.Serve(ready) })
	h.done.Go(h.servePackets)
	if h.features.FastStart {
		h.done.Go(h.releaseHeld)
		h.listenForInvitations()
	}
	h.done.Go(h.loop)
	h.registerEvacuations()
	if h.flows != nil {
		h.done.Go(h.trackFlows)
	} else {
		h.done.Go(h.watchPauses)
	}
	serveMetrics(h.ctx, h.cfg.Metrics, h.metrics, h.log, h.whereRoute)
	return nil
}

func (h *EntryHost) now() time.Duration { return time.Since(h.started) }

// ready reports whether the host should get packets.
func (h *EntryHost) ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && h.steerer.Ready() && !h.isStale()
}

// isStale reports whether the host has had no news of control hosts for so long
// that other entry hosts probably know more.
func (h *EntryHost) isStale() bool {
	limit := time.Duration(h.cfg.StaleMs) * time.Millisecond
	return limit > 0 && h.now()-h.lastUpdateAt > limit
}

// logReadiness logs a change of ready.
func (h *EntryHost) logReadiness(was bool) (is bool) {
	is = h.ready()
	if is != was {
		h.mu.Lock()
		age := h.now() - h.lastUpdateAt
		h.mu.Unlock()
		h.log.Event("readiness", "the answer of the readiness check changed", eventlog.Fields{"ready": is, "feed_age_ms": age.Milliseconds()})
	}
	return is
}

// loop does the periodic work until the host stops.
func (h *EntryHost) loop() {
	ready := false
	for {
		ready = h.logReadiness(ready)
		h.mu.Lock()
		h.steerer.Expire(h.now())
		h.levels.expire(h.steerer.Table())
		h.catalog.RemoveExpired(h.now())
		h.checkHeld()
		incomplete := h.isMissingServers(h.now())
		h.mu.Unlock()
		h.sender.expire()
		warm := h.controlHosts.updateWarm(h.placesFlows)
		h.controlHosts.setIncomplete(incomplete)
		h.controlHosts.reconcile(h.selectControlHosts)
		interval := coldTick
		if warm {
			interval = entryTick
		}
		select {
		case <-time.After(interval):
		case <-h.controlHosts.wake:
		case <-h.ctx.Done():
			return
		}
	}
}

// selectControlHosts returns the control hosts to follow.
func (h *EntryHost) selectControlHosts(known []candidate) map[string]bool {
	return selectHosts(h.cfg.Zone, h.cfg.Name, known)
}

// Reload applies changed seeds.
func (h *EntryHost) Reload(cfg Config) { h.controlHosts.setSeeds(cfg.seedFeedAddrs()) }

// Stop fails the readiness check for a part of the grace period, so that callers'
// packets go to other hosts, and then ends the host.
func (h *EntryHost) Stop() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	grace := time.Duration(h.cfg.GraceS * float64(time.Second))
	time.Sleep(grace / leavingGraceDivisor)
	h.stopNow()
}

// stopNow ends the host without delay.
func (h *EntryHost) stopNow() {
	h.cancel()
	if h.server != nil {
		_ = h.server.Close()
	}
	if h.conn != nil {
		_ = h.conn.Close()
	}
	if h.invitations != nil {
		_ = h.invitations.Close()
	}
	h.done.Wait()
}
