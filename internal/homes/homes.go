// Package homes runs an entry host's share of slot admission and once-only
// records: it claims the units whose home the table makes this host, answers
// other hosts' calls, and asks other homes on behalf of requests. Decisions
// are those of packages fence, slots and oncekey.
package homes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fence"
	"greengagequay/internal/oncekey"
	"greengagequay/internal/replica"
	"greengagequay/internal/slots"
	"greengagequay/internal/table"
)

// Times of the work between hosts.
const (
	tickInterval  = 50 * time.Millisecond
	renewInterval = 500 * time.Millisecond // of leases
	callTimeout   = time.Second            // of a call that waits for nothing
	handoverWait  = time.Second            // for the report of a home that left the table
	retryPause    = 100 * time.Millisecond // before a release is sent again
)

// Caller calls methods of other hosts.
type Caller interface {
	// Call calls a method of the host at addr.
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Config is what Homes are built from.
type Config struct {
	Name        string
	Incarnation uint64 // start of the process, microseconds since 1970
	Replica     *replica.Replica
	Calls       Caller
	Clock       clock.Clock
	// Confirmed returns when the replica's state was last known to be current.
	Confirmed func() time.Time
}

// Homes are the homes on one entry host. They are safe for concurrent use.
type Homes struct {
	Config
	self string // process name

	joining sync.Mutex // held until all units know that the table lists this host again

	mu        sync.Mutex
	since     int64                  // since when this process has been in the table without a gap
	presence  presence               // own, in the table
	slots     map[string]*slotUnit   // by unit
	shards    map[string]*shardUnit  // by unit
	hosts     map[string]table.Host  // every host that was in the table, by name
	calling   map[string]struct{}    // hosts with a fence call in progress
	hints     map[string]slots.Load  // by unit
	seq       uint64                 // of attempts
	last      view                   // of the newest table
	births    map[string]fence.Epoch // revisions at which services were created
	work      sync.WaitGroup
	retention retention // read and written by Run alone
	stopped   context.Context
	stop      context.CancelFunc
}

// slotUnit is the slots of one run of a backend server.
type slotUnit struct {
	name    string
	mu      sync.Mutex
	core    *slots.Core
	waiting map[string]chan slots.Verdict // queued attempts
	acks    map[string]time.Time          // when each process that agrees to the claim was last asked
	claimed time.Time
	former  string // host that had the claim before
}

// shardUnit is one shard of once-only records.
type shardUnit struct {
	name    string
	mu      sync.Mutex
	core    *oncekey.Core
	pair    string // processes of home and backup that the claim was made for
	backup  string // host name
	claimed time.Time
	former  string
	syncing bool
}

// New returns the homes of an entry host. Run must be called.
func New(c Config) *Homes {
	h := &Homes{
		Config: c, self: processName(c.Name, c.Incarnation), since: int64(c.Incarnation),
		slots: map[string]*slotUnit{}, shards: map[string]*shardUnit{}, hosts: map[string]table.Host{},
		calling: map[string]struct{}{}, hints: map[string]slots.Load{}, births: map[string]fence.Epoch{},
	}
	h.stopped, h.stop = context.WithCancel(context.Background())
	for _, unit := range oncekey.Shards() {
		h.shards[unit] = &shardUnit{name: unit, core: oncekey.New(h.self, h.since)}
	}
	return h
}

func processName(host string, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", host, incarnation)
}

// hostOf returns the host of a process.
func hostOf(process string) string {
	host, _, _ := strings.Cut(process, "/")
	return host
}

// slotUnitOf names the slots of one run of a backend server.
func slotUnitOf(b table.Backend) string { return fmt.Sprintf("slots/%s/%d", b.ID, b.Incarnation) }

// slotsOf returns a unit, which it creates if need be.
func (h *Homes) slotsOf(unit string) *slotUnit {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.slots[unit]
	if u == nil {
		u = &slotUnit{name: unit, core: slots.New(h.self, h.since), waiting: map[string]chan slots.Verdict{}, acks: map[string]time.Time{}}
		h.slots[unit] = u
	}
	return u
}

func (h *Homes) shardOf(unit string) *shardUnit { return h.shards[unit] }

// Run works until Close.
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

// Close stops Run.
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

// call calls a method of a host, which may be this one.
func (h *Homes) call(ctx context.Context, host, method string, args, reply any) error {
	h.mu.Lock()
	to, ok := h.hosts[host]
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("host %q is not known", host)
	}
	return h.Calls.Call(ctx, to.RPC, "Homes."+method, args, reply)
}

// presence changes each time a host comes back into the table.
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
