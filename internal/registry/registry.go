// Package registry keeps the announcements of backend servers. They are soft
// state: each lapses unless it is repeated within its lease.
package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/model"
)

// DefaultLease is the lease of an announcement that names none.
const DefaultLease = 5 * time.Second

// Registry holds announcements. It is safe for concurrent use.
type Registry struct {
	mu  sync.Mutex
	all map[string]announcement
}

type announcement struct {
	backend model.Backend
	until   time.Time
}

// New returns an empty registry.
func New() *Registry { return &Registry{all: map[string]announcement{}} }

// Announce takes an announcement. An older incarnation is refused.
func (r *Registry) Announce(b model.Backend, now time.Time) error {
	if !b.State.Valid() {
		return fault.New(fault.Invalid, "use starting, ready, draining or gone", "backend server %q: state %q does not exist", b.ID, b.State)
	}
	if b.Lease <= 0 {
		b.Lease = DefaultLease
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.all[b.ID].backend; old.Incarnation > b.Incarnation {
		return fault.New(fault.Conflict, "stop the older process", "backend server %q: incarnation %d is older than %d", b.ID, b.Incarnation, old.Incarnation)
	}
	r.all[b.ID] = announcement{backend: b, until: now.Add(b.Lease)}
	return nil
}

// Expire marks as gone the backend servers whose lease has ended.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, a := range r.all {
		if now.After(a.until) {
			a.backend.State = model.Gone
			r.all[id] = a
		}
	}
}

// Backends returns the announced backend servers in the order of their IDs.
func (r *Registry) Backends() []model.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]model.Backend, 0, len(r.all))
	for _, a := range r.all {
		list = append(list, a.backend)
	}
	slices.SortFunc(list, func(a, b model.Backend) int { return strings.Compare(a.ID, b.ID) })
	return list
}
