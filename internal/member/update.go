package member

import (
	"math/bits"
	"strings"
	"time"
)

// itemPrefix distinguishes items from hosts in an updateQueue. No host name
// contains a slash.
const itemPrefix = "/"

func itemUpdateName(key string) string { return itemPrefix + key }

// budget bounds the bytes of one kind of traffic. With very many changes at once,
// updates wait in the queue or for a later comparison of records instead of
// flooding the network.
type budget struct {
	bytes     int
	capacity  int           // most bytes that may accumulate
	remainder time.Duration // time that has not yet added up to a byte
}

func newBudget(burst int) budget { return budget{bytes: burst, capacity: burst} }

func (b *budget) refill(passed time.Duration) {
	b.remainder += passed
	n := int(b.remainder * budgetRate / time.Second)
	b.remainder -= time.Duration(n) * time.Second / budgetRate
	b.bytes = min(b.capacity, b.bytes+n)
}

// allow reports whether the budget has n bytes and, if so, takes them from it.
func (b *budget) allow(n int) bool {
	if b.bytes < n {
		return false
	}
	b.bytes -= n
	return true
}

// budgets holds one budget for updates inside the zone, one for comparisons of
// records inside it, and one for updates and comparisons between zones.
type budgets struct{ updates, sync, bridge budget }

func (b *budgets) refill(passed time.Duration) {
	b.updates.refill(passed)
	b.sync.refill(passed)
	b.bridge.refill(passed)
}

// budgetFor returns the budget for answers to the message.
func (c *Core) budgetFor(m *Message) *budget {
	if c.fromOwnZone(m) {
		return &c.budgets.sync
	}
	return &c.budgets.bridge
}

// updateQueue holds the updates that this host still sends, newest last.
type updateQueue struct {
	left  map[string]int // by name: number of messages still to carry the update
	order []string
}

func (q *updateQueue) add(name string, times int) {
	if _, ok := q.left[name]; !ok {
		q.order = append(q.order, name)
	}
	q.left[name] = times
}

func (q *updateQueue) remove(name string) { delete(q.left, name) }

// fanOut returns the number of messages that carry one update.
func (c *Core) fanOut() int {
	return 3 + bits.Len(uint(len(c.ownZone().hosts)))
}

// addUpdates adds queued updates to a message inside the zone, oldest first.
func (c *Core) addUpdates(m *Message) {
	room := min(updateBytes, MaxDatagram-fixedBytes-len(m.Progress.lags()))
	kept := c.updates.order[:0]
	for _, name := range c.updates.order {
		left, ok := c.updates.left[name]
		if !ok {
			continue // the update is no longer queued
		}
		size := c.updateSize(name)
		if size > 0 && (size > room || !c.budgets.updates.allow(size)) {
			kept = append(kept, name)
			continue
		}
		if size > 0 {
			room -= size
			c.attach(m, name)
			left--
		}
		if size == 0 || left <= 0 {
			delete(c.updates.left, name)
			continue
		}
		c.updates.left[name] = left
		kept = append(kept, name)
	}
	c.updates.order = kept
}

// updateSize returns the size of the named update, or 0 if the record is no
// longer known.
func (c *Core) updateSize(name string) int {
	if key, ok := strings.CutPrefix(name, itemPrefix); ok {
		if i := c.items[key]; i != nil {
			return i.size()
		}
		return 0
	}
	if h := c.hosts[name]; h != nil {
		r := withoutAddresses(h.rec)
		return r.size()
	}
	return 0
}

func (c *Core) attach(m *Message, name string) {
	if key, ok := strings.CutPrefix(name, itemPrefix); ok {
		m.Items = append(m.Items, c.items[key].Item)
		return
	}
	m.Hosts = append(m.Hosts, withoutAddresses(c.hosts[name].rec))
}

// withoutAddresses removes the addresses of a host that is not alive. Receivers
// know them from earlier records or do not need them.
func withoutAddresses(r HostRecord) HostRecord {
	if r.State != rankAlive {
		r.Gossip, r.RPC, r.Relay = "", "", ""
	}
	return r
}

// sendUrgent sends urgent updates of this zone to all other zones if this host is
// a bridge.
func (c *Core) sendUrgent() {
	if len(c.urgent) == 0 {
		return
	}
	names := c.urgent
	c.urgent = nil
	if !c.isBridge() {
		return
	}
	for _, z := range c.otherZones() {
		if h := c.bridgeOf(z); h != nil {
			c.sendUpdates(h, names)
		}
	}
}

func (c *Core) sendUpdates(h *host, names []string) {
	m := &Message{Kind: Updates}
	room := updateBytes
	for _, name := range names {
		size := c.updateSize(name)
		if size == 0 || size > room || !c.budgets.bridge.allow(size) {
			continue // the next comparison sends it
		}
		room -= size
		c.attach(m, name)
	}
	if len(m.Hosts)+len(m.Items) > 0 {
		c.sendRaw(h.rec.Gossip, m)
	}
}
