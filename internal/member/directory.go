package member

import (
	"slices"
	"strings"
	"sync"
	"time"

	"greengagequay/internal/model"
)

// deadAfter is the silence after which a host counts as dead.
const deadAfter = 3 * time.Second

// Directory is a list of hosts with the time each was last heard. It is safe
// for concurrent use.
type Directory struct {
	mu   sync.Mutex
	seen map[string]sighting
}

type sighting struct {
	host model.Host
	at   time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{seen: map[string]sighting{}} }

// Heard notes a host's report. Reports of an older incarnation are ignored.
func (d *Directory) Heard(h model.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen[h.Name].host.Incarnation > h.Incarnation {
		return
	}
	d.seen[h.Name] = sighting{host: h, at: now}
}

// Expire marks hosts as dead that have been silent for too long.
func (d *Directory) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.seen {
		if s.host.State == model.Alive && now.Sub(s.at) > deadAfter {
			s.host.State = model.Dead
			d.seen[name] = s
		}
	}
}

// Replace takes over the list of another directory.
func (d *Directory) Replace(hosts []model.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = make(map[string]sighting, len(hosts))
	for _, h := range hosts {
		d.seen[h.Name] = sighting{host: h, at: now}
	}
}

// Hosts returns the known hosts in the order of their names.
func (d *Directory) Hosts() []model.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := make([]model.Host, 0, len(d.seen))
	for _, s := range d.seen {
		hosts = append(hosts, s.host)
	}
	slices.SortFunc(hosts, func(a, b model.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}
