package member

import (
	"bytes"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// putHost stores a record and tells others.
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
		h.revision, h.ack, h.granted = 0, 0, 0
		h.leased = c.at // a new process may hold a new lease
	}
	if r.State == rankAlive || r.State == rankLeft {
		r.Accusers = nil
	}
	h.rec = r
	if r.State != old.State || old.Name == "" {
		h.since = c.at
	}
	z.addHost(h)
	c.noteSuspicion(h, old)
	c.spreadHost(h)
	if old.State != r.State || old.Roles != r.Roles || old.incarnation() != r.incarnation() || old.Name == "" {
		c.event(Event{Kind: HostChanged, Host: h.model()})
	}
}

func (c *Core) noteSuspicion(h *host, old HostRecord) {
	if h.rec.State != rankSuspect || h.rec.Zone != c.self.rec.Zone {
		delete(c.suspects, h.rec.Name)
		return
	}
	if _, known := c.suspects[h.rec.Name]; !known || old.Version != h.rec.Version {
		c.suspects[h.rec.Name] = h
		h.suspected = c.at
		if h != c.self && !slices.Contains(h.rec.Accusers, c.self.rec.Name) {
			c.confirm(h)
		}
	}
}

func (c *Core) spreadHost(h *host) {
	own := h.rec.Zone == c.self.rec.Zone
	if own || len(c.rumors.left) < maxForeign {
		c.rumors.add(h.rec.Name, c.fanOut())
	}
	if h.rec.State != rankSuspect && own {
		c.eager = append(c.eager, h.rec.Name)
	}
}

// Publish stores an item of this host's making and spreads it.
func (c *Core) Publish(i Item) { c.mergeItem(i) }

// Items returns the known items, in no order.
func (c *Core) Items() []Item {
	list := make([]Item, 0, len(c.items))
	for _, i := range c.items {
		list = append(list, i.Item)
	}
	return list
}

// mergeItem stores an item unless what is known is as new. It reports whether
// the item is older than what is known.
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
	fresh := &item{Item: i, hash: hashOf(itemRumor(i.Key)), since: c.at}
	c.items[i.Key] = fresh
	c.zoneOf(i.Zone).addItem(fresh)
	own := i.Zone == c.self.rec.Zone
	if own || len(c.rumors.left) < maxForeign {
		c.rumors.add(itemRumor(i.Key), c.fanOut())
	}
	if own {
		c.eager = append(c.eager, itemRumor(i.Key))
	}
	c.event(Event{Kind: ItemChanged, Item: i})
	return false
}

// mergeAll takes the records of a message. Whoever sends an old one is told.
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
		c.quiet(m) // the zone knows these
	}
	c.sendRecords(from, c.budgetFor(m), answer.Hosts, answer.Items)
}

func (c *Core) fromOwnZone(m *Message) bool {
	h := c.hosts[m.From]
	return h != nil && h.rec.Zone == c.self.rec.Zone
}

// quiet stops the spreading of records that came by a comparison.
func (c *Core) quiet(m *Message) {
	for i := range m.Hosts {
		if m.Hosts[i].Name != c.self.rec.Name {
			c.rumors.remove(m.Hosts[i].Name)
		}
	}
	for i := range m.Items {
		c.rumors.remove(itemRumor(m.Items[i].Key))
	}
}

// sweep forgets what has been dead or gone for long.
func (c *Core) sweep() {
	if c.at < c.next.sweep {
		return
	}
	c.next.sweep = c.at + tombstoneTime/100
	for name, h := range c.hosts {
		if !h.rec.live() && c.at-h.since > tombstoneTime {
			c.zones[h.rec.Zone].removeHost(h)
			delete(c.hosts, name)
		}
	}
	for key, i := range c.items {
		if i.Gone && c.at-i.since > tombstoneTime {
			c.zones[i.Zone].removeItem(i)
			delete(c.items, key)
		}
	}
}

func hashOf(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

// mix returns the part of a digest that stands for one record.
func mix(key uint32, version uint64) uint32 {
	x := (uint64(key) << 32) ^ (version * 0x9e3779b97f4a7c15)
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return uint32(x >> 32)
}
