package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
	"greengagequay/internal/registry"
)

// registryInterval is the time between two ticks of the registry.
const registryInterval = 100 * time.Millisecond

// sharedRegistry makes the registry, which holds the announcements of backend
// servers, safe for concurrent use by the API, the gossip, the placement and the
// health checks.
type sharedRegistry struct {
	mu   sync.Mutex
	core *registry.Registry
}

func (d *Daemon) openRegistry() {
	d.registry = &sharedRegistry{core: registry.New(registry.Options{
		Host: d.Config.Name, Zone: d.Config.Zone,
		Served: func(service string) bool { return d.Replica.Table().ByName[service] != nil },
	})}
}

// Backends returns the announced backend servers in the order of their IDs.
func (r *sharedRegistry) Backends() []model.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Backends()
}

// runRegistry expires the leases of backend servers and publishes changed
// announcements as gossip items until ctx ends. It also sends renewals to the lease
// owners, the hosts that expire the leases.
func (d *Daemon) runRegistry(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := d.Members.Hosts()
		d.registry.mu.Lock()
		out := d.registry.core.Tick(d.clock.Now(), hosts)
		d.registry.mu.Unlock()
		d.Members.Publish(out.Items...)
		for host, list := range out.Renewals {
			for _, data := range registry.EncodeRenewals(list) {
				d.Members.SendTo(host, data)
			}
		}
		d.sleep(ctx, registryInterval)
	}
}

// Announce handles the announcement of a backend server and returns its lease.
func (d *Daemon) Announce(_ context.Context, b model.Backend) (time.Duration, error) {
	d.registry.mu.Lock()
	items, lease, err := d.registry.core.Announce(d.clock.Now(), b)
	d.registry.mu.Unlock()
	d.Members.Publish(items...)
	if err != nil {
		d.Metrics.Counter("announcements.refused").Inc(1)
	}
	return lease, err
}

// handleGossipEvent passes received votes to the health core, and received
// announcements and renewals to the registry.
func (d *Daemon) handleGossipEvent(e member.Event) {
	var err error
	switch {
	case e.Kind == member.ItemChanged && isVote(e.Item):
		err = d.health.receiveItem(e.Item)
	case e.Kind == member.ItemChanged && strings.HasPrefix(e.Item.Key, registry.KeyPrefix):
		err = d.registry.receiveItem(d.clock.Now(), e.Item)
	case e.Kind == member.Received:
		err = d.registry.receiveRenewals(d.clock.Now(), e.Data)
	}
	if err != nil {
		d.log.Warnf("%v", err)
	}
}

func (r *sharedRegistry) receiveItem(now time.Time, i member.Item) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.MergeItem(now, i)
}

func (r *sharedRegistry) receiveRenewals(now time.Time, data []byte) error {
	list, err := registry.DecodeRenewals(data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ReceiveRenewals(now, list)
	return nil
}
