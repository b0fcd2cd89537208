// Package homes runs the admission of requests to slots, and the records of requests
// that have an idempotency key (keyed requests), on an entry host. A unit is what one
// home serves: the slots of one incarnation of a backend server, or one shard of the
// records. The package claims the units of which this host is the home, answers calls
// of other hosts, and calls other homes on behalf of requests. A claim has the
// revision of the home's table as its epoch. It begins a takeover, in which the home
// collects the reports of other hosts on the unit before it serves the unit. An
// attempt is one try to get a slot, or permission to run a keyed request. The
// decisions are made by packages fence, slots and idempotency.
package homes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fence"
	"greengagequay/internal/idempotency"
	"greengagequay/internal/replica"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

const (
	tickInterval      = 50 * time.Millisecond
	renewInterval     = 500 * time.Millisecond // between two renewals of a lease on slots
	callTimeout       = time.Second            // timeout of all calls except Acquire, which may wait for a slot
	formerHomeTimeout = time.Second            // how long a takeover waits for a former home that left the table
	retryInterval     = 100 * time.Millisecond // pause before a Begin, Finish or Release call is repeated
)

// RPCClient calls methods of other hosts.
type RPCClient interface {
	// Call calls a method of the host at addr.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Config configures Homes.
type Config struct {
	Name        string
	Incarnation uint64 // when the process started, in microseconds since 1970
	Replica     *replica.Replica
	Client      RPCClient
	Clock       clock.Clock
	// StateConfirmedAt returns when the replica's state was last known to be current.
	StateConfirmedAt func() time.Time
}

// Homes holds one entry host's state of all units, whether this host is their
// home or not. It is safe for concurrent use.
type Homes struct {
	Config
	self string // process name

	joinMu sync.Mutex // serializes updateHosts: no claim is answered before all units know that this host rejoined

	mu sync.Mutex
	// listedSince is the time from which the table has listed this process without a
	// gap, in microseconds since 1970. Before the first listing it is the start of the
	// process.
	listedSince       int64
	presence          presence               // this host's presence in the table
	slots             map[string]*slotUnit   // by unit
	shards            map[string]*shardUnit  // by unit
	hosts             map[string]table.Host  // every host that was ever in the table, by name
	fenceCalls        map[string]struct{}    // hosts to which a Fence call is in progress
	hints             map[string]slots.Load  // load of each backend server as its home last reported it, by unit
	seq               uint64                 // number of the last attempt
	cachedView        view                   // view of the newest table
	creationRevisions map[string]fence.Epoch // revision at which each service was created
	work              sync.WaitGroup         // goroutines started by background
	retention         retention              // only Run reads and writes it
	stopped           context.Context
	stop              context.CancelFunc
}

// slotUnit holds the slots of one incarnation of a backend server.
type slotUnit struct {
	name             string
	mu               sync.Mutex
	core             *slots.Core
	waiting          map[string]chan slots.Verdict // by queued attempt: receives its verdict
	ackedClaimSentAt map[string]time.Time          // by process that agreed to the claim: when that claim or its last renewal was sent
	claimedAt        time.Time
	formerHome       string // name of the host that held the claim before
}

// shardUnit is one shard of the records of keyed requests.
type shardUnit struct {
	name       string
	mu         sync.Mutex
	core       *idempotency.Core
	pair       string // processes of the home and the backup for which the claim was made
	backup     string // name of the backup host, empty if there is none
	claimedAt  time.Time
	formerHome string // name of the host that held the claim before
	syncing    bool   // a Sync call to the backup is in progress
}

// New returns the Homes of an entry host. The caller must call Run.
func New(c Config) *Homes {
	h := &Homes{
		Config: c, self: processName(c.Name, c.Incarnation), listedSince: int64(c.Incarnation),
		slots: map[string]*slotUnit{}, shards: map[string]*shardUnit{}, hosts: map[string]table.Host{},
		fenceCalls: map[string]struct{}{}, hints: map[string]slots.Load{}, creationRevisions: map[string]fence.Epoch{},
	}
	h.stopped, h.stop = context.WithCancel(context.Background())
	for _, unit := range idempotency.Shards() {
		h.shards[unit] = &shardUnit{name: unit, core: idempotency.New(h.self, h.listedSince)}
	}
	return h
}

func processName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", host, incarnation)
}

// hostOf returns the name of the host on which a process runs.
func hostOf(process string) string {
	host, _, _ := strings.Cut(process, "/")
	return host
}

// slotUnitName returns the name of the unit that holds the slots of one
// incarnation of a backend server.
func slotUnitName(b table.Backend) string { return fmt.Sprintf("slots/%s/%d", b.ID, b.Incarnation) }

// slotUnitByName returns a slot unit. It creates the unit if it does not exist yet.
func (h *Homes) slotUnitByName(unit string) *slotUnit {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.slots[unit]
	if u == nil {
		u = &slotUnit{name: unit, core: slots.New(h.self, h.listedSince), waiting: map[string]chan slots.Verdict{}, ackedClaimSentAt: map[string]time.Time{}}
		h.slots[unit] = u
	}
	return u
}

func (h *Homes) shardUnitByName(unit string) *shardUnit { return h.shards[unit] }

// Run ticks at each change of the replica and every tickInterval. After Close it
// waits for background goroutines and returns.
func (h *Homes) Run() {
	for h.stopped.Err() == nil {
		changed := h.Replica.Changed()
		h.tick()
		select {
		case <-h.stopped.Done():
		case <-changed:
		case <-h.Clock.After(tickInterval):
		}
	}
	h.work.Wait()
}

// Close cancels all background work and makes Run return.
func (h *Homes) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stop()
}

// background runs fn in a goroutine that Run waits for. After Close it does
// nothing.
func (h *Homes) background(fn func(ctx context.Context)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped.Err() != nil {
		return
	}
	h.work.Go(func() { fn(h.stopped) })
}

// call calls a method of a host, which may be this host itself.
func (h *Homes) call(ctx context.Context, host, method string, args, reply any) error {
	h.mu.Lock()
	to, ok := h.hosts[host]
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("host %q is unknown", host)
	}
	return h.Client.Call(ctx, to.RPC, "Homes."+method, args, reply)
}

// presence identifies one stay of a host in the table. It changes each time the
// host returns.
type presence struct {
	num     table.HostNum
	returns uint32
}

func (h *Homes) nextAttempt() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	return fmt.Sprintf("%s/%d", h.self, h.seq)
}
