package member

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Intervals and timeouts between zones.
const (
	maxBridgeCycle    = 10 * time.Second // longest time in which a bridge contacts every zone
	unreachableGrace  = 2 * time.Second  // added to unreachableCycles
	unreachableCycles = 2                // bridge cycles without a message after which a bridge reports a zone as unreachable
)

// zone holds what is known of one availability zone.
type zone struct {
	name          string
	hosts         map[string]*host
	items         map[string]*item
	sums          [slicesPerZone]uint32 // digests of the live records, by slice
	liveHosts     []*host               // in the order of names, valid unless dirty
	hash          uint32                // hash of the live hosts and their incarnations
	ranked        []*host               // the live hosts in the order of preference as bridges
	dirty         bool
	lastMessageAt time.Duration   // when the last message from this zone arrived
	unreachableBy map[string]bool // by bridge of this host's zone: whether the bridge cannot reach this zone
	unreachable   bool
}

func (c *Core) zoneOf(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{name: name, hosts: map[string]*host{}, items: map[string]*item{}, unreachableBy: map[string]bool{}, lastMessageAt: c.runTime, dirty: true}
		c.zones[name] = z
	}
	return z
}

func (z *zone) addHost(h *host) {
	z.hosts[h.rec.Name] = h
	z.toggleHost(h)
}

func (z *zone) removeHost(h *host) {
	z.toggleHost(h)
	delete(z.hosts, h.rec.Name)
}

// toggleHost adds a live host to the digest or removes it.
func (z *zone) toggleHost(h *host) {
	z.dirty = true
	if h.rec.live() {
		z.sums[h.hash%slicesPerZone] ^= recordSum(h.hash, h.rec.Version)
	}
}

func (z *zone) addItem(i *item) {
	z.items[i.Key] = i
	z.toggleItem(i)
}

func (z *zone) removeItem(i *item) {
	z.toggleItem(i)
	delete(z.items, i.Key)
}

func (z *zone) toggleItem(i *item) {
	if !i.Gone {
		z.sums[i.hash%slicesPerZone] ^= recordSum(i.hash, i.Version)
	}
}

func (z *zone) sum() uint32 {
	var s uint32
	for i, v := range z.sums {
		s ^= recordSum(uint32(i), uint64(v))
	}
	return s
}

// liveSorted returns the live hosts in the order of their names.
func (z *zone) liveSorted() []*host {
	z.refresh()
	return z.liveHosts
}

func (z *zone) refresh() {
	if !z.dirty {
		return
	}
	z.dirty = false
	z.liveHosts = z.liveHosts[:0:0]
	for _, h := range z.hosts {
		if h.rec.live() {
			z.liveHosts = append(z.liveHosts, h)
		}
	}
	slices.SortFunc(z.liveHosts, func(a, b *host) int { return strings.Compare(a.rec.Name, b.rec.Name) })
	var text []byte
	for _, h := range z.liveHosts {
		text = append(text, h.rec.Name...)
		v := h.rec.incarnation()
		text = append(text, byte(v), byte(v>>8), byte(v>>16), byte(v>>24), byte(v>>32), byte(v>>40))
	}
	z.hash = uint32(xxhash.Sum64(text))
	z.ranked = slices.Clone(z.liveHosts)
	slices.SortFunc(z.ranked, func(a, b *host) int {
		return cmp.Or(cmp.Compare(a.rec.Roles&roleControl, b.rec.Roles&roleControl), cmp.Compare(a.hash, b.hash))
	})
}

// bridgeHosts returns the bridges of the zone: the live hosts that come first by
// the hash of their names, so that all hosts choose the same ones. Control hosts
// come last, since the leading one answers the reports of all zones.
func (z *zone) bridgeHosts() []*host {
	z.refresh()
	return z.ranked[:min(bridgesPerZone, len(z.ranked))]
}

func (c *Core) isBridge() bool { return slices.Contains(c.ownZone().bridgeHosts(), c.self) }

// bridgeOf returns a random bridge of the zone, or nil if it has no live host.
func (c *Core) bridgeOf(z *zone) *host {
	list := z.bridgeHosts()
	if len(list) == 0 {
		return nil
	}
	return list[c.rand.IntN(len(list))]
}

// otherZones returns the other zones in the order of their names.
func (c *Core) otherZones() []*zone {
	var list []*zone
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if name != c.self.rec.Zone {
			list = append(list, c.zones[name])
		}
	}
	return list
}

// bridgeCycle returns the time in which a bridge contacts every other zone.
func (c *Core) bridgeCycle() time.Duration {
	return min(maxBridgeCycle, time.Duration(len(c.zones))*bridgeInterval)
}

// contactZones compares records with the next of the other zones if this host is
// a bridge. It also checks from which zones no message has arrived for too long.
func (c *Core) contactZones() {
	others := c.otherZones()
	if len(others) == 0 || !c.isBridge() || c.runTime < c.next.bridge {
		return
	}
	c.next.bridge = c.runTime + c.bridgeCycle()/time.Duration(len(c.zones))
	c.next.zone = (c.next.zone + 1) % len(others)
	if h := c.bridgeOf(others[c.next.zone]); h != nil {
		c.sendDigest(h.rec.Gossip)
	}
	for _, z := range others {
		timedOut := c.runTime-z.lastMessageAt > unreachableCycles*c.bridgeCycle()+unreachableGrace && len(z.liveSorted()) > 0
		c.setUnreachable(z, c.self.rec.Name, timedOut)
	}
}

func (c *Core) setUnreachable(z *zone, by string, unreachable bool) {
	z.unreachableBy[by] = unreachable
	byAll := true
	for _, h := range c.ownZone().bridgeHosts() {
		byAll = byAll && z.unreachableBy[h.rec.Name]
	}
	if byAll == z.unreachable {
		return
	}
	z.unreachable = byAll
	kind := ZoneReachable
	if byAll {
		kind = ZoneUnreachable
	}
	c.addEvent(Event{Kind: kind, Zone: z.name})
}

// unreachableZones returns whether this host is a bridge, and if so, the zones that
// it cannot reach.
func (c *Core) unreachableZones() (bridge bool, zones []string) {
	if !c.isBridge() {
		return false, nil
	}
	for _, z := range c.otherZones() {
		if z.unreachableBy[c.self.rec.Name] {
			zones = append(zones, z.name)
		}
	}
	return true, zones
}

// markReachable records that the sender's zone is reachable and, if the sender is a
// bridge of this zone, which zones it cannot reach.
func (c *Core) markReachable(m *Message) {
	h := c.hosts[m.From]
	if h == nil {
		return
	}
	z := c.zones[h.rec.Zone]
	z.lastMessageAt = c.runTime
	if z != c.ownZone() {
		if z.unreachableBy[c.self.rec.Name] {
			c.setUnreachable(z, c.self.rec.Name, false)
		}
		return
	}
	if !m.Bridge {
		return
	}
	for _, other := range c.otherZones() {
		if unreachable := slices.Contains(m.Cut, other.name); unreachable != other.unreachableBy[m.From] {
			c.setUnreachable(other, m.From, unreachable)
		}
	}
}
