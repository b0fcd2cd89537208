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

// registryInterval is the time between two looks at leases.
const registryInterval = 100 * time.Millisecond

// announcements shares the registry between the API, the gossip and the
// controllers. It is safe for concurrent use.
type announcements struct {
	mu   sync.Mutex
	core *registry.Registry
}

func (d *Daemon) openRegistry() {
	d.registry = &announcements{core: registry.New(registry.Options{
		Host: d.Config.Name, Zone: d.Config.Zone,
		Served: func(service string) bool { return d.Replica.Table().ByName[service] != nil },
	})}
}

// Backends returns the announced backend servers in the order of their IDs.
func (a *announcements) Backends() []model.Backend {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.Backends()
}

// keepRegistry counts leases and tells keepers what this host has heard.
func (d *Daemon) keepRegistry(ctx context.Context) {
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
		d.pause(ctx, registryInterval)
	}
}

// Announce takes the announcement of a backend server and returns its lease.
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

// gossiped takes what the gossip brings.
func (d *Daemon) gossiped(e member.Event) {
	var err error
	switch {
	case e.Kind == member.ItemChanged && isVote(e.Item):
		err = d.health.take(e.Item)
	case e.Kind == member.ItemChanged && strings.HasPrefix(e.Item.Key, registry.KeyPrefix):
		err = d.registry.take(d.clock.Now(), e.Item)
	case e.Kind == member.Received:
		err = d.registry.renewed(d.clock.Now(), e.Data)
	}
	if err != nil {
		d.log.Warnf("%v", err)
	}
}

func (a *announcements) take(now time.Time, i member.Item) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.MergeItem(now, i)
}

func (a *announcements) renewed(now time.Time, data []byte) error {
	list, err := registry.DecodeRenewals(data)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.core.ReceiveRenewals(now, list)
	return nil
}
