// Package registry keeps the announcements of backend servers. They are soft
// state: a backend server repeats its announcement to any entry host of its
// zone, and lapses when it falls silent. Changes spread as items of the gossip
// between hosts; repetitions do not. One entry host of the zone, the keeper of
// the backend server, counts its lease, and the others tell the keeper of
// repetitions. The package is pure: no I/O, clock or goroutine.
package registry

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// Leases of announcements.
const (
	DefaultLease = 5 * time.Second // of an announcement that names none
	MinLease     = time.Second
	MaxLease     = time.Minute
)

// Limits that a flood of announcements meets.
const (
	maxBackends  = 4096 // backend servers that a zone remembers
	hostRate     = 500  // announcements per second on one host
	hostBurst    = 1000
	changeRate   = 2 // changes per second of one backend server
	changeBurst  = 6
	maxNameBytes = 64
)

// Times of the registry.
const (
	renewInterval = 250 * time.Millisecond // between notes to keepers
	loadInterval  = 5 * time.Second        // between changes of load that are spread
	loadStep      = 0.2                    // share by which a load must differ to be spread
	goneTime      = 24 * time.Hour         // a tombstone is remembered this long
	maxStep       = 500 * time.Millisecond // a longer gap between ticks is a pause of this host
)

// Options of a registry.
type Options struct {
	Host string // name of this host
	Zone string // its zone
	// Served reports whether the service exists.
	Served func(service string) bool
}

// Registry holds announcements. It is not safe for concurrent use.
type Registry struct {
	Options
	all     map[string]*announcement // by ID
	byAddr  map[netip.AddrPort]string
	hosts   []string // live entry hosts of the zone
	limit   bucket
	last    time.Time // of the last tick
	renewed [2]map[string]uint64
	nextRun time.Time
}

// announcement is what is known of one backend server.
type announcement struct {
	backend model.Backend
	version uint64
	until   time.Time // end of the lease, where this host is the keeper
	keeping bool
	changed time.Time
	limit   bucket
}

// Renewal tells the keeper that a backend server was heard.
type Renewal struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// Output is the result of a tick.
type Output struct {
	Items    []member.Item        // to be spread
	Renewals map[string][]Renewal // to be sent, by host
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		Options: o, all: map[string]*announcement{}, byAddr: map[netip.AddrPort]string{},
		limit:   bucket{rate: hostRate, burst: hostBurst},
		renewed: [2]map[string]uint64{{}, {}},
	}
}

// Announce takes an announcement that reached this host. It returns the items
// to be spread and the lease that is granted.
func (r *Registry) Announce(now time.Time, b model.Backend) ([]member.Item, time.Duration, error) {
	if !r.limit.take(now) {
		return nil, 0, fault.New(fault.Limited, "announce once per second and backend server", "host %s gets more than %d announcements per second", r.Host, hostRate)
	}
	b.Lease = grantedLease(b.Lease)
	if err := r.check(b); err != nil {
		return nil, 0, err
	}
	old := r.all[b.ID]
	if err := r.checkIdentity(old, b); err != nil {
		return nil, 0, err
	}
	taken, err := r.checkAddresses(b)
	if err != nil {
		return nil, 0, err
	}
	if old != nil && !worthSpreading(now, old, b) {
		r.heard(now, b)
		return nil, b.Lease, nil
	}
	items, err := r.spread(now, old, b, taken)
	return items, b.Lease, err
}

func grantedLease(want time.Duration) time.Duration {
	if want <= 0 {
		return DefaultLease
	}
	return min(max(want, MinLease), MaxLease)
}

// worthSpreading reports whether an announcement says more than that the
// backend server lives.
func worthSpreading(now time.Time, old *announcement, b model.Backend) bool {
	was, is := old.backend, b
	was.Load, is.Load = 0, 0
	if was != is {
		return true
	}
	gap := math.Abs(old.backend.Load - b.Load)
	return gap > loadStep*max(old.backend.Load, b.Load) && now.Sub(old.changed) >= loadInterval
}

// spread stores a change and returns its item, and those of the backend
// servers whose addresses it took over.
func (r *Registry) spread(now time.Time, old *announcement, b model.Backend, taken []string) ([]member.Item, error) {
	if old == nil && !r.makeRoom() {
		return nil, fault.New(fault.Limited, "look for a program that announces made-up names", "zone %s has %d backend servers already", r.Zone, maxBackends)
	}
	if old != nil && !old.limit.take(now) {
		return nil, fault.New(fault.Limited, "let the state settle before the next change", "backend server %q changes more than %d times per second", b.ID, changeRate)
	}
	var items []member.Item
	for _, id := range taken {
		items = append(items, r.bury(now, id))
	}
	return append(items, r.store(now, b, r.nextVersion(now, b.ID))), nil
}

// nextVersion follows the clock, so that a host that does not yet know the
// last change of a backend server does not fall behind it.
func (r *Registry) nextVersion(now time.Time, id string) uint64 {
	v := uint64(now.UnixMilli())
	if a := r.all[id]; a != nil {
		v = max(v, a.version+1)
	}
	return v
}

func (r *Registry) store(now time.Time, b model.Backend, version uint64) member.Item {
	r.put(now, b, version)
	r.heard(now, b)
	return itemOf(b, version)
}

func (r *Registry) put(now time.Time, b model.Backend, version uint64) {
	a := r.all[b.ID]
	if a == nil {
		a = &announcement{limit: bucket{rate: changeRate, burst: changeBurst}}
		r.all[b.ID] = a
	}
	r.unlink(a)
	a.backend, a.version, a.changed = b, version, now
	if b.State != model.Gone {
		for _, addr := range addresses(b) {
			r.byAddr[addr] = b.ID
		}
	}
	a.until = now.Add(b.Lease)
}

func (r *Registry) unlink(a *announcement) {
	for _, addr := range addresses(a.backend) {
		if r.byAddr[addr] == a.backend.ID {
			delete(r.byAddr, addr)
		}
	}
}

// bury marks a backend server as gone.
func (r *Registry) bury(now time.Time, id string) member.Item {
	b := r.all[id].backend
	b.State = model.Gone
	return r.mark(now, b)
}

// silence marks a backend server whose lease has run out. The end of the lease
// stays, since the time until it is buried counts from there.
func (r *Registry) silence(now time.Time, id string) member.Item {
	b, until := r.all[id].backend, r.all[id].until
	b.Silent = true
	item := r.mark(now, b)
	r.all[id].until = until
	return item
}

func (r *Registry) mark(now time.Time, b model.Backend) member.Item {
	version := r.nextVersion(now, b.ID)
	r.put(now, b, version)
	return itemOf(b, version)
}

// makeRoom forgets the oldest tombstone of the zone if it is full.
func (r *Registry) makeRoom() bool {
	count := 0
	var oldest *announcement
	for _, a := range r.all {
		if a.backend.Zone != r.Zone {
			continue
		}
		count++
		if a.backend.State == model.Gone && (oldest == nil || a.changed.Before(oldest.changed)) {
			oldest = a
		}
	}
	if count < maxBackends {
		return true
	}
	if oldest == nil {
		return false
	}
	delete(r.all, oldest.backend.ID)
	return true
}

// Take stores an item that another host has spread.
func (r *Registry) Take(now time.Time, i member.Item) error {
	b, err := backendOf(i)
	if err != nil {
		return err
	}
	if a := r.all[b.ID]; a != nil && a.version >= i.Version {
		return nil
	}
	r.put(now, b, i.Version)
	return nil
}

// Backends returns the announced backend servers in the order of their IDs.
func (r *Registry) Backends() []model.Backend {
	list := make([]model.Backend, 0, len(r.all))
	for _, a := range r.all {
		list = append(list, a.backend)
	}
	slices.SortFunc(list, func(a, b model.Backend) int { return strings.Compare(a.ID, b.ID) })
	return list
}
