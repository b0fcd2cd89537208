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

// Options configures a Host.
type Options struct {
	Name      string
	Addr      string // RPC address of this host
	Peers     []Peer // control hosts listed in the settings
	Bootstrap bool   // start a new log with the peers as its voters
	// InitialVoters are the voters of a new log. All of them have the same list,
	// and each starts the log without contacting the others.
	InitialVoters []raft.Member
	Managed       bool // the caller changes members automatically, based on View; Bootstrap is ignored
	Tuning        Tuning
	Disk          wal.Disk // data folder
	Replica       *replica.Replica
	Transport     Transport
	Clock         clock.Clock
	Log           *logs.Component
	Metrics       *metrics.Registry
	Rand          *rand.Rand    // randomizes election timeouts
	Random        func() uint64 // unpredictable source for identities and the seed of the flow hash
}

// Tuning overrides defaults. Zero values keep the defaults. TrailingEntries is
// used only if SnapshotEntries is set, and then zero keeps no entries.
type Tuning struct {
	QuorumReads     bool          // see raft.Config
	Tick            time.Duration // interval between two ticks of the Raft node
	SnapshotEntries int           // entries between two snapshots
	TrailingEntries uint64        // entries kept before a snapshot
}

// RandomNumber returns an unpredictable number.
func RandomNumber() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // crypto/rand never returns an error
	return binary.BigEndian.Uint64(b[:])
}

// Peer is a control host listed in the settings.
type Peer struct {
	Name string
	Addr string
}

// Host runs this control host's member of the replicated log. It is safe for
// concurrent use.
type Host struct {
	Options
	engine     *engine
	started    time.Time
	requests   chan func(now time.Duration)
	incoming   chan Envelope
	status     atomic.Pointer[publishedState]
	metrics    logMetrics
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

var _ Log = (*Host)(nil)

// publishedState is the state of the log after the loop's last iteration.
type publishedState struct {
	at      time.Duration // time since the host started
	status  raft.Status
	members raft.Membership
	blocked error
	blank   bool
}

// Sizes of the loop's queues.
const (
	requestQueue = 256
	messageQueue = 256
)

// Open opens the data folder and runs the member of the log until Close.
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
		// The files passed their checks, so they are not damaged.
		return nil, fault.New(fault.Unavailable, "start the version that wrote the data folder, or a later one", "this version cannot read the state in the data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Options: o, engine: e, started: o.Clock.Now(), cancel: cancel, metrics: newLogMetrics(o.Metrics),
		requests: make(chan func(time.Duration), requestQueue), incoming: make(chan Envelope, messageQueue),
	}
	if err := h.applyTuning(); err != nil {
		cancel()
		_ = log.Close()
		return nil, err
	}
	e.seed = func() uint64 { return o.Random() | 1 }
	e.send = func(addr string, m []raft.Message) { o.Transport.Send(addr, Envelope{Addr: o.Addr, Messages: m}) }
	e.process(0)
	h.publish(0)
	h.goroutines.Go(func() { h.loop(ctx) })
	h.goroutines.Go(func() { h.bootstrap(ctx) })
	return h, nil
}

// newID returns the identity for an empty data folder. Initial voters have fixed
// identities, so that each knows those of the others before any contact.
func (o *Options) newID() raft.ID {
	for _, m := range o.InitialVoters {
		if m.Name == o.Name {
			return m.ID
		}
	}
	return raft.ID(o.Random() | 1)
}

// applyTuning applies the tuning. It starts a new log if initial voters are given
// and the data folder holds no log.
func (h *Host) applyTuning() error {
	if n := h.Tuning.SnapshotEntries; n > 0 {
		h.engine.snapshotEntries, h.engine.trailingEntries = n, h.Tuning.TrailingEntries
	}
	if h.Tuning.Tick == 0 {
		h.Tuning.Tick = tickInterval
	}
	if len(h.InitialVoters) == 0 || !h.engine.node.Blank() {
		return nil
	}
	return h.engine.startLog(0, h.InitialVoters)
}

// now returns the time since the host started.
func (h *Host) now() time.Duration { return h.Clock.Now().Sub(h.started) }

// loop owns the engine. It reads the clock after it has taken an event from its
// queue, so that leases and timeouts are checked at a time no earlier than the
// event.
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
		h.metrics.observeCycle(h.now() - now)
		h.publish(now)
	}
}

// drain handles all queued events, so that they share one disk sync.
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

// publish makes the state of the log available to other goroutines, and updates
// metrics and logs from it.
func (h *Host) publish(now time.Duration) {
	next := &publishedState{
		at: now, status: h.engine.node.Status(now), members: h.engine.node.Membership(),
		blocked: h.engine.blocked(), blank: h.engine.node.Blank(),
	}
	previous := h.status.Swap(next)
	h.metrics.update(previous, next)
	if previous != nil {
		h.logChange(previous, next)
	}
}

func (h *Host) logChange(previous, next *publishedState) {
	switch {
	case previous.blocked == nil && next.blocked != nil:
		h.Log.Errorf("%v", next.blocked)
	case previous.blocked != nil && next.blocked == nil:
		h.Log.Infof("the disk accepts writes again")
	}
	if previous.status.Leader == next.status.Leader && previous.status.Term == next.status.Term {
		return
	}
	if m, ok := next.members.Find(next.status.Leader); ok {
		h.Log.Infof("host %s leads in term %d", m.Name, next.status.Term)
		return
	}
	h.Log.Warnf("no host leads in term %d", next.status.Term)
}

// enqueue passes fn to the loop. It fails if ctx ends while the queue is full.
func (h *Host) enqueue(ctx context.Context, fn func(now time.Duration)) error {
	select {
	case h.requests <- fn:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "send the request again in a second", "control host %s is busy: %w", h.Name, ctx.Err())
	}
}

// Receive queues messages from another control host. It drops them when the
// queue is full.
func (h *Host) Receive(e Envelope) {
	select {
	case h.incoming <- e:
	default:
	}
}

// Leader returns the RPC address of the leader, and whether it is this host. It
// reports this host only while the lease rules out any other leader and the
// disk accepts writes, and thus never with QuorumReads, which uses no lease.
func (h *Host) Leader() (string, bool) {
	p := h.status.Load()
	m, _ := p.members.Find(p.status.Leader)
	return m.Addr, p.status.LeaseLeft > 0 && h.now() < p.at+p.status.LeaseLeft && p.blocked == nil
}

// Status returns how current this host's state is. The state is current if a
// leader is known, a quorum was in contact within the election timeout and this
// host is not blocked by an error. Status counts the time since the loop's last
// iteration, so it stays accurate while the loop waits for a slow disk.
func (h *Host) Status() Status {
	p := h.status.Load()
	age := h.now() - p.at + p.status.ContactAge
	addr, _ := h.Leader()
	return Status{
		Leader: addr, Age: age, Member: !p.blank, Failed: p.blocked,
		Current: p.status.Leader != 0 && age < electionTimeout && p.blocked == nil,
	}
}

// Identity returns the identity of this host and its data folder.
func (h *Host) Identity() Identity {
	p := h.status.Load()
	return Identity{ID: p.status.ID, Name: h.Name, Blank: p.blank}
}

// TransferLeadership transfers the leadership to another voter, if this host
// leads. It returns once this host no longer leads, no other voter can take over
// or ctx ends.
func (h *Host) TransferLeadership(ctx context.Context) {
	accepted := make(chan bool, 1)
	if h.enqueue(ctx, func(time.Duration) { accepted <- h.engine.node.Transfer() }) != nil {
		return
	}
	select {
	case <-ctx.Done():
		return
	case ok := <-accepted:
		if !ok {
			return // this host does not lead, or no other voter can take over
		}
	}
	for ctx.Err() == nil && h.status.Load().status.Role == raft.Leader {
		h.sleep(ctx)
	}
}

func (h *Host) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(retryInterval):
	}
}

// Close stops the member of the log and unlocks the data folder.
func (h *Host) Close() error {
	h.cancel()
	h.goroutines.Wait()
	h.engine.failPending(errLeaderChanged)
	if err := h.engine.close(); err != nil {
		return fmt.Errorf("close log: %w", err)
	}
	return nil
}
