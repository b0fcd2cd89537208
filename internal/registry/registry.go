// Package registry keeps the announcements of backend servers. They are soft
// state: a backend server repeats its announcement to any entry host of its
// zone, and the announcement expires when it is no longer repeated. Changed
// announcements are sent to all hosts as gossip items; repeated ones are not.
// One entry host of the zone, the lease owner of the backend server, expires its
// lease, and the others send it the renewals. The package uses no I/O, clock or
// goroutine.
package registry

import (
	"math"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// Leases of announcements.
const (
	DefaultLease = 5 * time.Second // granted if the announcement requests none
	MinLease     = time.Second
	MaxLease     = time.Minute
)

// Limits on announcements, against floods.
const (
	maxBackends  = 4096 // backend servers kept per zone, tombstones included
	hostRate     = 500  // announcements per second to one host
	hostBurst    = 1000
	changeRate   = 2 // changes per second of one backend server
	changeBurst  = 6
	maxNameBytes = 64
)

// Times of the registry.
const (
	renewInterval = 250 * time.Millisecond // between renewals sent to lease owners
	loadInterval  = 5 * time.Second        // shortest time from the last change until a change of only the load is published
	loadStep      = 0.2                    // a load is published if it changed by more than this share of the larger value
	tombstoneTTL  = 24 * time.Hour         // time for which a tombstone is kept
	maxTickGap    = 500 * time.Millisecond // a longer gap between ticks is a pause of this host
)

// Options holds the parameters of a registry.
type Options struct {
	Host string // name of this host
	Zone string // zone of this host
	// Served reports whether the service exists.
	Served func(service string) bool
}

// Registry holds announcements. It is not safe for concurrent use.
type Registry struct {
	Options
	byID         map[string]*announcement // tombstones included
	byEndpoint   map[endpoint]string      // IDs of backend servers that are not gone
	hosts        []string                 // live entry hosts of the zone, the possible lease owners
	limit        rateLimiter
	lastTick     time.Time
	renewed      [2]map[string]uint64 // by ID: incarnation announced to this host, in this round and in the one before
	nextRenewals time.Time
}

// announcement is the latest announcement of one backend server.
type announcement struct {
	backend   model.Backend
	version   uint64
	leaseEnd  time.Time // only the lease owner acts on it
	ownsLease bool
	changedAt time.Time
	limit     rateLimiter
}

// Renewal informs the lease owner that a backend server repeated its
// announcement to another host.
type Renewal struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// Output is the result of a tick.
type Output struct {
	Items    []member.Item        // changed items to publish
	Renewals map[string][]Renewal // renewals to send, by lease owner
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		Options: o, byID: map[string]*announcement{}, byEndpoint: map[endpoint]string{},
		limit:   rateLimiter{rate: hostRate, burst: hostBurst},
		renewed: [2]map[string]uint64{{}, {}},
	}
}

// Announce handles an announcement that this host received. It returns the items
// to publish and the granted lease.
func (r *Registry) Announce(now time.Time, b model.Backend) ([]member.Item, time.Duration, error) {
	if !r.limit.allow(now) {
		return nil, 0, fault.New(fault.Limited, "announce once per second and backend server", "host %s receives more than %d announcements per second", r.Host, hostRate)
	}
	b.Lease = grantedLease(b.Lease)
	if err := r.check(b); err != nil {
		return nil, 0, err
	}
	old := r.byID[b.ID]
	if err := r.checkIdentity(old, b); err != nil {
		return nil, 0, err
	}
	replaced, err := r.checkAddresses(b)
	if err != nil {
		return nil, 0, err
	}
	if old != nil && !shouldPublish(now, old, b) {
		r.renewLease(now, b)
		return nil, b.Lease, nil
	}
	items, err := r.acceptChange(now, old, b, replaced)
	return items, b.Lease, err
}

func grantedLease(want time.Duration) time.Duration {
	if want <= 0 {
		return DefaultLease
	}
	return min(max(want, MinLease), MaxLease)
}

// shouldPublish reports whether an announcement differs enough from the last one
// to be published: in any field other than the load, or in a load that changed by
// more than loadStep, at least loadInterval after the last change.
func shouldPublish(now time.Time, old *announcement, b model.Backend) bool {
	before, after := old.backend, b
	before.Load, after.Load = 0, 0
	if before != after {
		return true
	}
	gap := math.Abs(old.backend.Load - b.Load)
	return gap > loadStep*max(old.backend.Load, b.Load) && now.Sub(old.changedAt) >= loadInterval
}

// acceptChange stores a changed announcement. It returns the item, and those of
// the backend servers whose addresses b took over, which are gone.
func (r *Registry) acceptChange(now time.Time, old *announcement, b model.Backend, replaced []string) ([]member.Item, error) {
	if old == nil && !r.makeRoom() {
		return nil, fault.New(fault.Limited, "look for a program that announces nonexistent backend servers", "zone %s has %d backend servers already", r.Zone, maxBackends)
	}
	if old != nil && !old.limit.allow(now) {
		return nil, fault.New(fault.Limited, "announce changes less often", "backend server %q changes more than %d times per second", b.ID, changeRate)
	}
	var items []member.Item
	for _, id := range replaced {
		items = append(items, r.markGone(now, id))
	}
	return append(items, r.storeReceived(now, b, r.nextVersion(now, b.ID))), nil
}

// nextVersion returns a version based on the clock, so that a host that does not
// yet have the last change of a backend server still returns a higher version
// than that change has.
func (r *Registry) nextVersion(now time.Time, id string) uint64 {
	v := uint64(now.UnixMilli())
	if a := r.byID[id]; a != nil {
		v = max(v, a.version+1)
	}
	return v
}

// storeReceived stores an announcement that this host received and renews its lease.
func (r *Registry) storeReceived(now time.Time, b model.Backend, version uint64) member.Item {
	r.put(now, b, version)
	r.renewLease(now, b)
	return encodeItem(b, version)
}

func (r *Registry) put(now time.Time, b model.Backend, version uint64) {
	a := r.byID[b.ID]
	if a == nil {
		a = &announcement{limit: rateLimiter{rate: changeRate, burst: changeBurst}}
		r.byID[b.ID] = a
	}
	r.removeAddresses(a)
	a.backend, a.version, a.changedAt = b, version, now
	if b.State != model.Gone {
		for _, e := range endpoints(b) {
			r.byEndpoint[e] = b.ID
		}
	}
	a.leaseEnd = now.Add(b.Lease)
}

func (r *Registry) removeAddresses(a *announcement) {
	for _, e := range endpoints(a.backend) {
		if r.byEndpoint[e] == a.backend.ID {
			delete(r.byEndpoint, e)
		}
	}
}

// markGone marks a backend server as gone.
func (r *Registry) markGone(now time.Time, id string) member.Item {
	b := r.byID[id].backend
	b.State = model.Gone
	return r.update(now, b)
}

// markSilent marks a backend server whose lease has expired. It keeps the end of
// the lease, since SilentGracePeriod starts there.
func (r *Registry) markSilent(now time.Time, id string) member.Item {
	b, expires := r.byID[id].backend, r.byID[id].leaseEnd
	b.Silent = true
	item := r.update(now, b)
	r.byID[id].leaseEnd = expires
	return item
}

// update stores a change that this host makes as the lease owner, or when another
// backend server takes over the addresses.
func (r *Registry) update(now time.Time, b model.Backend) member.Item {
	version := r.nextVersion(now, b.ID)
	r.put(now, b, version)
	return encodeItem(b, version)
}

// makeRoom removes the oldest tombstone of the zone if the zone is full. It
// reports whether there is room for another backend server.
func (r *Registry) makeRoom() bool {
	count := 0
	var oldest *announcement
	for _, a := range r.byID {
		if a.backend.Zone != r.Zone {
			continue
		}
		count++
		if a.backend.State == model.Gone && (oldest == nil || a.changedAt.Before(oldest.changedAt)) {
			oldest = a
		}
	}
	if count < maxBackends {
		return true
	}
	if oldest == nil {
		return false
	}
	delete(r.byID, oldest.backend.ID)
	return true
}

// MergeItem stores an item from another host unless the stored version is the same
// or newer.
func (r *Registry) MergeItem(now time.Time, i member.Item) error {
	b, err := decodeItem(i)
	if err != nil {
		return err
	}
	if a := r.byID[b.ID]; a != nil && a.version >= i.Version {
		return nil
	}
	r.put(now, b, i.Version)
	return nil
}

// Backends returns the announced backend servers in the order of their IDs.
func (r *Registry) Backends() []model.Backend {
	list := make([]model.Backend, 0, len(r.byID))
	for _, a := range r.byID {
		list = append(list, a.backend)
	}
	slices.SortFunc(list, func(a, b model.Backend) int { return strings.Compare(a.ID, b.ID) })
	return list
}
