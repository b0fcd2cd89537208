package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// bucket limits a rate.
type bucket struct {
	rate, burst float64
	level       float64 // used up
	at          time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.level = max(0, b.level-b.rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.level+1 > b.burst {
		return false
	}
	b.level++
	return true
}

// heard renews the lease here or notes that the keeper must be told.
func (r *Registry) heard(now time.Time, b model.Backend) {
	if a := r.all[b.ID]; a != nil {
		a.until = now.Add(b.Lease)
	}
	r.renewed[0][b.ID] = b.Incarnation
}

// Renewed takes what another host has heard.
func (r *Registry) Renewed(now time.Time, list []Renewal) {
	for _, renewal := range list {
		a := r.all[renewal.ID]
		if a != nil && a.backend.Incarnation == renewal.Incarnation {
			a.until = now.Add(a.backend.Lease)
		}
	}
}

// keeper returns the host that counts the lease of a backend server: the live
// entry host of the zone that comes first by a hash of both names.
func (r *Registry) keeper(id string) string {
	best, name := uint64(0), r.Host
	for _, h := range r.hosts {
		if x := xxhash.Sum64String(id + "/" + h); x >= best {
			best, name = x, h
		}
	}
	return name
}

// Tick ends leases and gathers the notes to keepers. Hosts are all known hosts.
func (r *Registry) Tick(now time.Time, hosts []model.Host) Output {
	var out Output
	r.hosts = r.hosts[:0]
	for _, h := range hosts {
		if h.Zone == r.Zone && h.Entry && (h.State == model.Alive || h.State == model.Suspect || h.State == model.Leaving) {
			r.hosts = append(r.hosts, h.Name)
		}
	}
	if !r.last.IsZero() && now.Sub(r.last) > maxStep {
		r.extend(now.Sub(r.last))
	}
	r.last = now
	out.Items = r.expire(now)
	if !now.Before(r.nextRun) {
		r.nextRun = now.Add(renewInterval)
		out.Renewals = r.notes()
	}
	return out
}

// extend lengthens all leases after a pause of this host, in which it could
// hear nobody.
func (r *Registry) extend(pause time.Duration) {
	for _, a := range r.all {
		a.until = a.until.Add(pause)
	}
}

// SilentHold is how long a backend server whose lease has run out keeps its
// flows. The hosts that it announced to may be gone, not itself.
const SilentHold = 30 * time.Second

// expire ends the leases that have run out on their keeper: the backend server
// takes no new work at first, and is buried after SilentHold. A host that
// becomes the keeper grants a whole lease first.
func (r *Registry) expire(now time.Time) []member.Item {
	var items []member.Item
	for _, id := range slices.Sorted(maps.Keys(r.all)) {
		a := r.all[id]
		if a.backend.State == model.Gone {
			if now.Sub(a.changed) > goneTime {
				delete(r.all, id)
			}
			continue
		}
		keeps := a.backend.Zone == r.Zone && r.keeper(id) == r.Host
		if keeps && !a.keeping {
			a.until = now.Add(a.backend.Lease)
		}
		a.keeping = keeps
		switch {
		case !keeps || !now.After(a.until):
		case now.After(a.until.Add(SilentHold)):
			items = append(items, r.bury(now, id))
		case !a.backend.Silent:
			items = append(items, r.silence(now, id))
		}
	}
	return items
}

// notes returns the repetitions of this round and the one before, which makes
// up for a note that is lost.
func (r *Registry) notes() map[string][]Renewal {
	notes := map[string][]Renewal{}
	both := maps.Clone(r.renewed[1])
	maps.Copy(both, r.renewed[0])
	r.renewed = [2]map[string]uint64{{}, r.renewed[0]}
	for _, id := range slices.Sorted(maps.Keys(both)) {
		if k := r.keeper(id); k != r.Host {
			notes[k] = append(notes[k], Renewal{ID: id, Incarnation: both[id]})
		}
	}
	return notes
}
