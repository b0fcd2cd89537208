package member

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// putHost stores a record and queues it for other hosts.
func (c *Core) putHost(r HostRecord) {
	z := c.zoneOf(r.Zone)
	h := c.hosts[r.Name]
	var old HostRecord
	if h == nil {
		h = &host{hash: hashOf(r.Name)}
		c.hosts[r.Name] = h
	} else {
		old = h.rec
		c.zones[old.Zone].removeHost(h)
	}
	if r.incarnation() > old.incarnation() && h != c.self {
		h.revision, h.ack, h.grantedAck = 0, 0, 0
		h.leasedAt = c.runTime // the new process may hold a lease that has not expired
	}
	if r.State == rankAlive || r.State == rankLeft {
		r.Accusers = nil
	}
	h.rec = r
	if r.State != old.State || old.Name == "" {
		h.stateSince = c.runTime
	}
	z.addHost(h)
	c.trackSuspicion(h, old)
	c.queueHost(h)
	if old.State != r.State || old.Roles != r.Roles || old.incarnation() != r.incarnation() || old.Name == "" {
		c.addEvent(Event{Kind: HostChanged, Host: h.model()})
	}
}

func (c *Core) trackSuspicion(h *host, old HostRecord) {
	if h.rec.State != rankSuspect || h.rec.Zone != c.self.rec.Zone {
		delete(c.suspects, h.rec.Name)
		return
	}
	if _, known := c.suspects[h.rec.Name]; !known || old.Version != h.rec.Version {
		c.suspects[h.rec.Name] = h
		h.suspectedAt = c.runTime
		if h != c.self && !slices.Contains(h.rec.Accusers, c.self.rec.Name) {
			c.maybeProbeSuspect(h)
		}
	}
}

func (c *Core) queueHost(h *host) {
	own := h.rec.Zone == c.self.rec.Zone
	if own || len(c.updates.left) < maxForeignUpdates {
		c.updates.add(h.rec.Name, c.fanOut())
	}
	if h.rec.State != rankSuspect && own {
		c.urgent = append(c.urgent, h.rec.Name)
	}
}

// Publish stores an item of this host and queues it for the others.
func (c *Core) Publish(i Item) { c.mergeItem(i) }

// Items returns the known items in no particular order.
func (c *Core) Items() []Item {
	list := make([]Item, 0, len(c.items))
	for _, i := range c.items {
		list = append(list, i.Item)
	}
	return list
}

// mergeItem stores an item if it is newer than the known one. It reports whether
// the item is older than the known one.
func (c *Core) mergeItem(i Item) (stale bool) {
	old := c.items[i.Key]
	if old != nil {
		switch {
		case i.Version < old.Version:
			return true
		case i.Version == old.Version && bytes.Compare(i.Body, old.Body) <= 0:
			return false
		}
		c.zones[old.Zone].removeItem(old)
	}
	fresh := &item{Item: i, hash: hashOf(itemUpdateName(i.Key)), storedAt: c.runTime}
	c.items[i.Key] = fresh
	c.zoneOf(i.Zone).addItem(fresh)
	own := i.Zone == c.self.rec.Zone
	if own || len(c.updates.left) < maxForeignUpdates {
		c.updates.add(itemUpdateName(i.Key), c.fanOut())
	}
	if own {
		c.urgent = append(c.urgent, itemUpdateName(i.Key))
	}
	c.addEvent(Event{Kind: ItemChanged, Item: i})
	return false
}

// mergeAll merges the records of a message. It answers stale ones with the newer
// records.
func (c *Core) mergeAll(from string, m *Message) {
	var answer Message
	for _, r := range m.Hosts {
		if c.mergeHost(r) {
			answer.Hosts = append(answer.Hosts, c.hosts[r.Name].rec)
		}
	}
	for _, i := range m.Items {
		if c.mergeItem(i) {
			answer.Items = append(answer.Items, c.items[i.Key].Item)
		}
	}
	if m.Kind == Records && c.fromOwnZone(m) {
		c.dropUpdates(m) // a host of this zone had these records already
	}
	c.sendRecords(from, c.budgetFor(m), answer.Hosts, answer.Items)
}

func (c *Core) fromOwnZone(m *Message) bool {
	h := c.hosts[m.From]
	return h != nil && h.rec.Zone == c.self.rec.Zone
}

// dropUpdates removes records that arrived by a comparison from the queue of
// updates.
func (c *Core) dropUpdates(m *Message) {
	for i := range m.Hosts {
		if m.Hosts[i].Name != c.self.rec.Name {
			c.updates.remove(m.Hosts[i].Name)
		}
	}
	for i := range m.Items {
		c.updates.remove(itemUpdateName(m.Items[i].Key))
	}
}

// sweep removes tombstones of items, and records of hosts that are not live, after
// tombstoneTime.
func (c *Core) sweep() {
	if c.runTime < c.next.sweep {
		return
	}
	c.next.sweep = c.runTime + tombstoneTime/100
	for name, h := range c.hosts {
		if !h.rec.live() && c.runTime-h.stateSince > tombstoneTime {
			c.zones[h.rec.Zone].removeHost(h)
			delete(c.hosts, name)
		}
	}
	for key, i := range c.items {
		if i.Gone && c.runTime-i.storedAt > tombstoneTime {
			c.zones[i.Zone].removeItem(i)
			delete(c.items, key)
		}
	}
}

func hashOf(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

// recordSum returns the contribution of one record to a digest.
func recordSum(key uint32, version uint64) uint32 {
	x := (uint64(key) << 32) ^ (version * 0x9e3779b97f4a7c15)
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}
