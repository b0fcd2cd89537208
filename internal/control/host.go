package control

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
	"greengagequay/internal/logs"
	"greengagequay/internal/metrics"
	"greengagequay/internal/raft"
	"greengagequay/internal/replica"
	"greengagequay/internal/wal"
)

// Options of a control host.
type Options struct {
	Name      string
	Addr      string // RPC address of this host
	Peers     []Peer // control hosts of the settings
	Bootstrap bool   // start a new log with the peers as its voters
	// Founders are the voters of a new log, the same on each of them. Each
	// starts it on its own, without asking the others.
	Founders  []raft.Member
	Managed   bool // the leader adds, promotes and removes members by itself
	Tuning    Tuning
	Disk      wal.Disk // data folder
	Replica   *replica.Replica
	Transport Transport
	Clock     clock.Clock
	Log       *logs.Part
	Metrics   *metrics.Registry
	Rand      *rand.Rand    // spreads election timeouts
	Random    func() uint64 // unpredictable source of identities and of the seed of the flow hash
}

// Tuning replaces defaults for deployments with other needs. Zero values keep
// the defaults.
type Tuning struct {
	QuorumReads     bool          // see raft.Config
	Tick            time.Duration // between two looks at the clock of the log
	SnapshotEntries int
	KeptEntries     uint64
}

// RandomNumber returns an unpredictable number.
func RandomNumber() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:])
}

// Peer is a control host of the settings.
type Peer struct {
	Name string
	Addr string
}

// Host is this control host's part of the replicated log. It is safe for
// concurrent use.
type Host struct {
	Options
	engine   *engine
	started  time.Time
	requests chan func(now time.Duration)
	incoming chan Envelope
	status   atomic.Pointer[published]
	metrics  logMetrics
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

var _ Log = (*Host)(nil)

// published is what the loop last told about the log.
type published struct {
	at      time.Duration
	status  raft.Status
	members raft.Membership
	blocked error
	blank   bool
}

// Sizes of the queues of the loop.
const (
	requestQueue = 256
	messageQueue = 256
)

// Open opens the data folder and takes part in the log until Close.
func Open(o Options) (*Host, error) {
	log, stored, err := wal.Open(o.Disk, o.newID)
	if err != nil {
		return nil, err
	}
	cfg := raft.Config{
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, Rand: o.Rand,
		QuorumReads: o.Tuning.QuorumReads,
	}
	e, err := newEngine(cfg, stored, log, o.Replica, 0)
	if err != nil {
		_ = log.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Options: o, engine: e, started: o.Clock.Now(), cancel: cancel, metrics: newLogMetrics(o.Metrics),
		requests: make(chan func(time.Duration), requestQueue), incoming: make(chan Envelope, messageQueue),
	}
	if err := h.tune(); err != nil {
		cancel()
		_ = log.Close()
		return nil, err
	}
	e.seed = func() uint64 { return o.Random() | 1 }
	e.send = func(addr string, m []raft.Message) { o.Transport.Send(addr, Envelope{Addr: o.Addr, Messages: m}) }
	e.process(0)
	h.publish(0)
	h.done.Go(func() { h.loop(ctx) })
	h.done.Go(func() { h.bootstrap(ctx) })
	return h, nil
}

// newID returns the identity for an empty data folder. The founders of a log
// know each other's before they have met.
func (o *Options) newID() raft.ID {
	for _, m := range o.Founders {
		if m.Name == o.Name {
			return m.ID
		}
	}
	return raft.ID(o.Random() | 1)
}

// tune applies the tuning and starts a new log if this host is a founder.
func (h *Host) tune() error {
	if n := h.Tuning.SnapshotEntries; n > 0 {
		h.engine.snapEntries, h.engine.keep = n, h.Tuning.KeptEntries
	}
	if h.Tuning.Tick == 0 {
		h.Tuning.Tick = tickInterval
	}
	if len(h.Founders) == 0 || !h.engine.node.Blank() {
		return nil
	}
	return h.engine.found(0, h.Founders)
}

// now returns the time since the host started.
func (h *Host) now() time.Duration { return h.Clock.Now().Sub(h.started) }

// loop owns the engine. The time is read after an event was taken from its
// queue: what the core concludes from it then holds at the time of the event.
func (h *Host) loop(ctx context.Context) {
	tick := h.Clock.After(h.Tuning.Tick)
	for {
		var request func(time.Duration)
		var envelope Envelope
		ticked := false
		select {
		case <-ctx.Done():
			return
		case request = <-h.requests:
		case envelope = <-h.incoming:
		case <-tick:
			ticked = true
			tick = h.Clock.After(h.Tuning.Tick)
		}
		now := h.now()
		if request != nil {
			request(now)
		}
		if ticked {
			h.engine.tick(now)
		}
		h.engine.receive(now, envelope)
		h.drain()
		h.engine.process(now)
		h.metrics.processed(h.now() - now)
		h.publish(now)
	}
}

// drain takes what else is waiting, so that one sync of the disk serves all.
func (h *Host) drain() {
	for {
		select {
		case request := <-h.requests:
			request(h.now())
		case envelope := <-h.incoming:
			h.engine.receive(h.now(), envelope)
		default:
			return
		}
	}
}

// publish tells the other goroutines about the log.
func (h *Host) publish(now time.Duration) {
	next := &published{
		at: now, status: h.engine.node.Status(now), members: h.engine.node.Membership(),
		blocked: h.engine.blocked(), blank: h.engine.node.Blank(),
	}
	was := h.status.Swap(next)
	h.metrics.update(was, next)
	if was != nil {
		h.logChange(was, next)
	}
}

func (h *Host) logChange(was, next *published) {
	switch {
	case was.blocked == nil && next.blocked != nil:
		h.Log.Errorf("%v", next.blocked)
	case was.blocked != nil && next.blocked == nil:
		h.Log.Infof("the disk takes changes again")
	}
	if was.status.Leader == next.status.Leader && was.status.Term == next.status.Term {
		return
	}
	if m, ok := next.members.Find(next.status.Leader); ok {
		h.Log.Infof("host %s leads in term %d", m.Name, next.status.Term)
		return
	}
	h.Log.Warnf("no host leads in term %d", next.status.Term)
}

// ask runs fn in the loop. It reports whether the loop will do so.
func (h *Host) ask(ctx context.Context, fn func(now time.Duration)) error {
	select {
	case h.requests <- fn:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "try again", "control host %s is busy: %w", h.Name, ctx.Err())
	}
}

// Receive takes messages of another control host. They are dropped when the
// host cannot keep up.
func (h *Host) Receive(e Envelope) {
	select {
	case h.incoming <- e:
	default:
	}
}

// Leader returns the RPC address of the leader, and whether it is this host.
// It is this host only while no other can lead.
func (h *Host) Leader() (string, bool) {
	p := h.status.Load()
	m, _ := p.members.Find(p.status.Leader)
	return m.Addr, p.status.LeaseLeft > 0 && h.now() < p.at+p.status.LeaseLeft && p.blocked == nil
}

// Status tells how current this host is. It holds also while the loop waits
// for a slow disk.
func (h *Host) Status() Status {
	p := h.status.Load()
	age := h.now() - p.at + p.status.ContactAge
	addr, _ := h.Leader()
	return Status{
		Leader: addr, Age: age, Member: !p.blank, Failed: p.blocked,
		Current: p.status.Leader != 0 && age < electionTimeout && p.blocked == nil,
	}
}

// Identity tells about the data folder.
func (h *Host) Identity() Identity {
	p := h.status.Load()
	return Identity{ID: p.status.ID, Name: h.Name, Blank: p.blank}
}

// HandOver passes the leadership on, if this host leads, and returns once
// another one does or ctx ends.
func (h *Host) HandOver(ctx context.Context) {
	handed := make(chan bool, 1)
	if h.ask(ctx, func(time.Duration) { handed <- h.engine.node.Transfer() }) != nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case ok := <-handed:
		if !ok {
			return // does not lead, or reaches nobody
		}
	}
	for ctx.Err() == nil && h.status.Load().status.Role == raft.Leader {
		h.pause(ctx)
	}
}

func (h *Host) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(retryPause):
	}
}

// Close ends this host's part and unlocks the data folder.
func (h *Host) Close() error {
	h.cancel()
	h.done.Wait()
	h.engine.dropWaiters(errReplaced)
	if err := h.engine.close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
