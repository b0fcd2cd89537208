package member

import (
	"math/bits"
	"strings"
	"time"
)

// itemPrefix separates the names of items from those of hosts in rumors. A
// host's name holds no slash.
const itemPrefix = "/"

func itemRumor(key string) string { return itemPrefix + key }

// rumors is the news that this host still spreads, newest last. A byte budget
// bounds what it sends, so that a mass of changes delays news, which the
// comparisons then bring, and does not flood the network.
type rumors struct {
	left   map[string]int // by name: messages that still carry it
	order  []string
	budget int           // bytes
	rest   time.Duration // not yet worth a byte
}

func (q *rumors) init() {
	q.left = map[string]int{}
	q.budget = rumorBurst
}

func (q *rumors) refill(passed time.Duration) {
	q.rest += passed
	n := int(q.rest * rumorRate / time.Second)
	q.rest -= time.Duration(n) * time.Second / rumorRate
	q.budget = min(rumorBurst, q.budget+n)
}

func (q *rumors) add(name string, times int) {
	if _, ok := q.left[name]; !ok {
		q.order = append(q.order, name)
	}
	q.left[name] = times
}

func (q *rumors) remove(name string) { delete(q.left, name) }

// spend takes n bytes from the budget if they are there.
func (q *rumors) spend(n int) bool {
	if q.budget < n {
		return false
	}
	q.budget -= n
	return true
}

// fanOut is the number of messages that carry one piece of news.
func (c *Core) fanOut() int {
	return 3 + bits.Len(uint(len(c.ownZone().hosts)))
}

// addRumors adds news to a message inside the zone, the least told first.
func (c *Core) addRumors(m *Message) {
	room := min(rumorBytes, MaxDatagram-fixedBytes-len(m.Progress.lags()))
	kept := c.rumors.order[:0]
	for _, name := range c.rumors.order {
		left, ok := c.rumors.left[name]
		if !ok {
			continue // removed
		}
		size := c.rumorSize(name)
		if size > 0 && (size > room || !c.rumors.spend(size)) {
			kept = append(kept, name)
			continue
		}
		if size > 0 {
			room -= size
			c.attach(m, name)
			left--
		}
		if size == 0 || left <= 0 {
			delete(c.rumors.left, name)
			continue
		}
		c.rumors.left[name] = left
		kept = append(kept, name)
	}
	c.rumors.order = kept
}

// rumorSize returns 0 if the record is no longer known.
func (c *Core) rumorSize(name string) int {
	if key, ok := strings.CutPrefix(name, itemPrefix); ok {
		if i := c.items[key]; i != nil {
			return i.size()
		}
		return 0
	}
	if h := c.hosts[name]; h != nil {
		r := brief(h.rec)
		return r.size()
	}
	return 0
}

func (c *Core) attach(m *Message, name string) {
	if key, ok := strings.CutPrefix(name, itemPrefix); ok {
		m.Items = append(m.Items, c.items[key].Item)
		return
	}
	m.Hosts = append(m.Hosts, brief(c.hosts[name].rec))
}

// brief leaves out the addresses where the receiver has them or needs none.
func brief(r HostRecord) HostRecord {
	if r.State != rankAlive {
		r.Gossip, r.RPC, r.Relay = "", "", ""
	}
	return r
}

// tellZones passes news of this zone on to all others at once.
func (c *Core) tellZones() {
	if len(c.eager) == 0 {
		return
	}
	names := c.eager
	c.eager = nil
	if !c.isBridge() {
		return
	}
	for _, z := range c.otherZones() {
		if h := c.bridgeOf(z); h != nil {
			c.tell(h, names)
		}
	}
}

func (c *Core) tell(h *host, names []string) {
	m := &Message{Kind: News}
	room := rumorBytes
	for _, name := range names {
		size := c.rumorSize(name)
		if size == 0 || size > room || !c.rumors.spend(size) {
			continue // the next comparison brings it
		}
		room -= size
		c.attach(m, name)
	}
	if len(m.Hosts)+len(m.Items) > 0 {
		c.sendRaw(h.rec.Gossip, m)
	}
}
