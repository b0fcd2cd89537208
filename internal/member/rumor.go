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

// budget bounds the bytes of one kind of traffic. A mass of changes then
// delays news, which later comparisons bring, and does not flood the network.
type budget struct {
	bytes int
	most  int           // bytes that may be saved up
	rest  time.Duration // not yet worth a byte
}

func newBudget(burst int) budget { return budget{bytes: burst, most: burst} }

func (b *budget) refill(passed time.Duration) {
	b.rest += passed
	n := int(b.rest * budgetRate / time.Second)
	b.rest -= time.Duration(n) * time.Second / budgetRate
	b.bytes = min(b.most, b.bytes+n)
}

// spend takes n bytes from the budget if they are there.
func (b *budget) spend(n int) bool {
	if b.bytes < n {
		return false
	}
	b.bytes -= n
	return true
}

// budgets holds one budget each for news inside the zone, for comparisons
// inside it, and for both between zones.
type budgets struct{ news, sync, bridge budget }

func (b *budgets) refill(passed time.Duration) {
	b.news.refill(passed)
	b.sync.refill(passed)
	b.bridge.refill(passed)
}

// budgetFor returns the budget of answers to the message.
func (c *Core) budgetFor(m *Message) *budget {
	if c.fromOwnZone(m) {
		return &c.budgets.sync
	}
	return &c.budgets.bridge
}

// rumors is the news that this host still spreads, newest last.
type rumors struct {
	left  map[string]int // by name: messages that still carry it
	order []string
}

func (q *rumors) add(name string, times int) {
	if _, ok := q.left[name]; !ok {
		q.order = append(q.order, name)
	}
	q.left[name] = times
}

func (q *rumors) remove(name string) { delete(q.left, name) }

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
		if size > 0 && (size > room || !c.budgets.news.spend(size)) {
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
		if size == 0 || size > room || !c.budgets.bridge.spend(size) {
			continue // the next comparison brings it
		}
		room -= size
		c.attach(m, name)
	}
	if len(m.Hosts)+len(m.Items) > 0 {
		c.sendRaw(h.rec.Gossip, m)
	}
}
