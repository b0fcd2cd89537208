package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// rateLimiter allows rate events per second, and burst events at once.
type rateLimiter struct {
	rate, burst float64
	used        float64 // allowed events, decreasing by rate per second
	updatedAt   time.Time
}

func (b *rateLimiter) allow(now time.Time) bool {
	b.used = max(0, b.used-b.rate*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	if b.used+1 > b.burst {
		return false
	}
	b.used++
	return true
}

// renewLease renews the lease on this host and queues the renewal for the lease
// owner.
func (r *Registry) renewLease(now time.Time, b model.Backend) {
	if a := r.byID[b.ID]; a != nil {
		a.leaseEnd = now.Add(b.Lease)
	}
	r.renewed[0][b.ID] = b.Incarnation
}

// ReceiveRenewals renews leases of backend servers that announced themselves to
// another host.
func (r *Registry) ReceiveRenewals(now time.Time, list []Renewal) {
	for _, renewal := range list {
		a := r.byID[renewal.ID]
		if a != nil && a.backend.Incarnation == renewal.Incarnation {
			a.leaseEnd = now.Add(a.backend.Lease)
		}
	}
}

// leaseOwner returns the host that expires the lease of a backend server: the
// live entry host of the zone with the highest hash of both names (rendezvous
// hashing).
func (r *Registry) leaseOwner(id string) string {
	best, name := uint64(0), r.Host
	for _, h := range r.hosts {
		if x := xxhash.Sum64String(id + "/" + h); x >= best {
			best, name = x, h
		}
	}
	return name
}

// Tick expires leases and collects the renewals to send to lease owners. hosts
// are all known hosts.
func (r *Registry) Tick(now time.Time, hosts []model.Host) Output {
	var out Output
	r.hosts = r.hosts[:0]
	for _, h := range hosts {
		if h.Zone == r.Zone && h.Entry && (h.State == model.Alive || h.State == model.Suspect || h.State == model.Leaving) {
			r.hosts = append(r.hosts, h.Name)
		}
	}
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > maxTickGap {
		r.extendLeases(now.Sub(r.lastTick))
	}
	r.lastTick = now
	out.Items = r.expire(now)
	if !now.Before(r.nextRenewals) {
		r.nextRenewals = now.Add(renewInterval)
		out.Renewals = r.renewals()
	}
	return out
}

// extendLeases extends all leases after a pause of this host, during which it
// could not receive announcements or renewals.
func (r *Registry) extendLeases(pause time.Duration) {
	for _, a := range r.byID {
		a.leaseEnd = a.leaseEnd.Add(pause)
	}
}

// SilentGracePeriod is how long a backend server whose lease has expired keeps
// its flows: the hosts that it announced to may have failed, not the backend
// server.
const SilentGracePeriod = 30 * time.Second

// expire handles expired leases that this host owns: it marks the backend server
// as silent, so that it gets no new work, and as gone after SilentGracePeriod. A
// host that becomes the lease owner grants a full lease first. It also removes
// old tombstones.
func (r *Registry) expire(now time.Time) []member.Item {
	var items []member.Item
	for _, id := range slices.Sorted(maps.Keys(r.byID)) {
		a := r.byID[id]
		if a.backend.State == model.Gone {
			if now.Sub(a.changedAt) > tombstoneTTL {
				delete(r.byID, id)
			}
			continue
		}
		owned := a.backend.Zone == r.Zone && r.leaseOwner(id) == r.Host
		if owned && !a.ownsLease {
			a.leaseEnd = now.Add(a.backend.Lease)
		}
		a.ownsLease = owned
		switch {
		case !owned || !now.After(a.leaseEnd):
		case now.After(a.leaseEnd.Add(SilentGracePeriod)):
			items = append(items, r.markGone(now, id))
		case !a.backend.Silent:
			items = append(items, r.markSilent(now, id))
		}
	}
	return items
}

// renewals returns, by lease owner, the renewals of this round and of the one
// before: each is sent twice, so that the loss of one message does no harm.
func (r *Registry) renewals() map[string][]Renewal {
	renewals := map[string][]Renewal{}
	both := maps.Clone(r.renewed[1])
	maps.Copy(both, r.renewed[0])
	r.renewed = [2]map[string]uint64{{}, r.renewed[0]}
	for _, id := range slices.Sorted(maps.Keys(both)) {
		if owner := r.leaseOwner(id); owner != r.Host {
			renewals[owner] = append(renewals[owner], Renewal{ID: id, Incarnation: both[id]})
		}
	}
	return renewals
}
