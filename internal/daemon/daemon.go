package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/access"
	"greengagequay/internal/api"
	"greengagequay/internal/apiserver"
	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/control"
	"greengagequay/internal/entry"
	"greengagequay/internal/follow"
	"greengagequay/internal/gossip"
	"greengagequay/internal/homes"
	"greengagequay/internal/logs"
	"greengagequay/internal/metrics"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/request"
	"greengagequay/internal/rpc"
)

// Daemon is a running quayd process.
type Daemon struct {
	Config  config.Config
	Replica *replica.Replica
	Metrics *metrics.Registry
	Members *gossip.Node

	bound        *Bound
	clock        clock.Clock
	logs         *logs.Logger
	log          *logs.Component
	incarnation  uint64
	controlBytes atomic.Int64
	freshness    follow.Freshness
	tokens       *access.Tokens // nil accepts every call
	registry     *sharedRegistry
	health       *sharedHealth
	reports      flowReports
	server       *rpc.Server
	client       *rpc.Client
	controlHost  *control.Host // nil unless this is a control host
	transport    *control.RPCTransport
	api          *http.Server
	requests     *http.Server
	homes        *homes.Homes // nil unless this is an entry host
	streams      []*entry.Stream
	flows        *flows // nil unless this is an entry host
	cancel       context.CancelFunc
	background   sync.WaitGroup
}

// Start starts the process on its bound sockets.
func Start(b *Bound, l *logs.Logger, c clock.Clock) (*Daemon, error) {
	if err := b.Config.Check(); err != nil {
		b.Close()
		return nil, err
	}
	d := &Daemon{
		Config:      b.Config,
		Replica:     replica.New(),
		Metrics:     metrics.New(),
		bound:       b,
		clock:       c,
		logs:        l,
		log:         l.Component("daemon"),
		incarnation: uint64(c.Now().UnixMicro()),
	}
	d.Metrics.GaugeFunc("control.bytes", d.ControlBytes)
	d.Metrics.GaugeFunc("state.revision", func() int64 { return int64(d.Replica.Revision()) })
	if err := d.setUpAccess(); err != nil {
		b.Close()
		return nil, err
	}
	if err := d.openMembers(); err != nil {
		b.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.start(ctx); err != nil {
		cancel()
		b.Close()
		d.closeLog()
		return nil, err
	}
	d.log.With("host", d.Config.Name).Infof("started in zone %s", d.Config.Zone)
	return d, nil
}

func (d *Daemon) start(ctx context.Context) error {
	if d.Config.Has(config.Control) {
		if err := d.startControl(ctx); err != nil {
			return err
		}
	}
	d.startMembers(ctx)
	if err := d.server.Register("State", &stateService{d: d}); err != nil {
		return err
	}
	d.client.ConnectLocal(d.Config.RPC, d.server)
	d.background.Go(d.server.Serve)
	if !d.Config.Has(config.Control) {
		d.startFollow(ctx)
	}
	if d.Config.Has(config.Entry) {
		if err := d.startFlows(ctx); err != nil {
			return err
		}
		d.background.Go(func() { d.reportFlows(ctx) })
		if err := d.startRequests(ctx); err != nil {
			return err
		}
		d.startStreams()
	}
	return d.startAPI()
}

// headerTimeout is the time limit for reading the header of an HTTP request.
const headerTimeout = 10 * time.Second

func (d *Daemon) startAPI() error {
	handler := &apiserver.Server{
		Name: d.Config.Name, Zone: d.Config.Zone, Replica: d.Replica,
		Members: d.Members, Submit: d, Control: d, Clock: d.clock,
	}
	server, err := api.NewServer(handler)
	if err != nil {
		return fmt.Errorf("build API: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.Metrics)
	mux.Handle("/", apiserver.RequireStrictJSON(server, request.WriteError))
	d.api = &http.Server{Handler: d.tokens.Guard(mux, request.WriteError), ReadHeaderTimeout: headerTimeout}
	d.background.Go(func() { d.serveHTTP(d.api, d.bound.api) })
	return nil
}

func (d *Daemon) serveHTTP(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.log.Errorf("HTTP server at %s stopped: %v", l.Addr(), err)
	}
}

// ControlBytes returns the bytes of control traffic sent and received.
func (d *Daemon) ControlBytes() int64 { return d.controlBytes.Load() }

// Stop shuts the process down gracefully: it hands the work of this host over to
// other hosts, accepts no new work and finishes the work in progress. Work that
// is still in progress when ctx ends is aborted.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Infof("stopping")
	for _, s := range d.streams {
		s.Close()
	}
	d.handOverHomes(ctx)
	var errs []error
	if d.requests != nil {
		errs = append(errs, d.requests.Shutdown(ctx))
	}
	d.waitStreams(ctx)
	d.handOverFlows(ctx)
	if d.controlHost != nil {
		d.controlHost.TransferLeadership(ctx)
	}
	errs = append(errs, d.api.Shutdown(ctx))
	d.Members.Leave()
	d.Kill()
	return errors.Join(errs...)
}

// Kill ends all parts at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	if d.homes != nil {
		d.homes.Close()
	}
	d.bound.Close()
	_ = d.api.Close()
	if d.requests != nil {
		_ = d.requests.Close()
	}
	d.server.Close()
	d.client.Close()
	d.background.Wait()
	d.closeLog()
}

// self returns the description of this host for the other hosts.
func (d *Daemon) self() model.Host {
	relay, _ := netip.ParseAddrPort(d.Config.Relay)
	return model.Host{
		Name:        d.Config.Name,
		Zone:        d.Config.Zone,
		Entry:       d.Config.Has(config.Entry),
		Control:     d.Config.Has(config.Control),
		Incarnation: d.incarnation,
		RPC:         d.Config.RPC,
		Gossip:      d.Config.Gossip,
		Relay:       relay,
		State:       model.Alive,
		Revision:    d.Replica.Revision(),
	}
}
