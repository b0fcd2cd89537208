package member

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times between zones.
const (
	maxBridgeCycle = 10 * time.Second // in which a bridge contacts every zone
	cutGrace       = 2 * time.Second
	cutCycles      = 2 // cycles of silence after which a zone counts as cut off
)

// zone holds what is known of one availability zone.
type zone struct {
	name   string
	hosts  map[string]*host
	items  map[string]*item
	sums   [parts]uint32 // digests of the live records
	live   []*host       // in the order of names, valid unless dirty
	hash   uint32        // of the live hosts and their incarnations
	ranked []*host       // the live hosts by fitness as a bridge
	dirty  bool
	heard  time.Duration   // last message from there
	cutBy  map[string]bool // by bridge of this host's zone: cannot reach it
	cut    bool
}

func (c *Core) zoneOf(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{name: name, hosts: map[string]*host{}, items: map[string]*item{}, cutBy: map[string]bool{}, heard: c.at, dirty: true}
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

// toggleHost adds a live host to the digest or takes it out.
func (z *zone) toggleHost(h *host) {
	z.dirty = true
	if h.rec.live() {
		z.sums[h.hash%parts] ^= mix(h.hash, h.rec.Version)
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
		z.sums[i.hash%parts] ^= mix(i.hash, i.Version)
	}
}

func (z *zone) sum() uint32 {
	var s uint32
	for i, v := range z.sums {
		s ^= mix(uint32(i), uint64(v))
	}
	return s
}

// list returns the live hosts in the order of their names.
func (z *zone) list() []*host {
	z.refresh()
	return z.live
}

func (z *zone) refresh() {
	if !z.dirty {
		return
	}
	z.dirty = false
	z.live = z.live[:0:0]
	for _, h := range z.hosts {
		if h.rec.live() {
			z.live = append(z.live, h)
		}
	}
	slices.SortFunc(z.live, func(a, b *host) int { return strings.Compare(a.rec.Name, b.rec.Name) })
	var text []byte
	for _, h := range z.live {
		text = append(text, h.rec.Name...)
		v := h.rec.incarnation()
		text = append(text, byte(v), byte(v>>8), byte(v>>16), byte(v>>24), byte(v>>32), byte(v>>40))
	}
	z.hash = uint32(xxhash.Sum64(text))
	z.ranked = slices.Clone(z.live)
	slices.SortFunc(z.ranked, func(a, b *host) int {
		return cmp.Or(cmp.Compare(a.rec.Roles&roleControl, b.rec.Roles&roleControl), cmp.Compare(a.hash, b.hash))
	})
}

// bridgeHosts returns the bridges of the zone: the live hosts that come first
// by the hash of their names, so that all hosts agree on them. Control hosts
// come last, since they have the reports of all zones to answer.
func (z *zone) bridgeHosts() []*host {
	z.refresh()
	return z.ranked[:min(bridges, len(z.ranked))]
}

func (c *Core) isBridge() bool { return slices.Contains(c.ownZone().bridgeHosts(), c.self) }

// bridgeOf returns a bridge of the zone, or nil if it has no live host.
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

// cycle is the time in which a bridge contacts every other zone.
func (c *Core) cycle() time.Duration {
	return min(maxBridgeCycle, time.Duration(len(c.zones))*bridgeInterval)
}

// contactZones compares records with the next zone in turn, and finds out
// which zones are silent.
func (c *Core) contactZones() {
	others := c.otherZones()
	if len(others) == 0 || !c.isBridge() || c.at < c.next.bridge {
		return
	}
	c.next.bridge = c.at + c.cycle()/time.Duration(len(c.zones))
	c.next.zone = (c.next.zone + 1) % len(others)
	if h := c.bridgeOf(others[c.next.zone]); h != nil {
		c.sendDigest(h.rec.Gossip)
	}
	for _, z := range others {
		silent := c.at-z.heard > cutCycles*c.cycle()+cutGrace && len(z.list()) > 0
		c.setCut(z, c.self.rec.Name, silent)
	}
}

func (c *Core) setCut(z *zone, by string, cut bool) {
	z.cutBy[by] = cut
	all := true
	for _, h := range c.ownZone().bridgeHosts() {
		all = all && z.cutBy[h.rec.Name]
	}
	if all == z.cut {
		return
	}
	z.cut = all
	kind := ZoneHealed
	if all {
		kind = ZoneCut
	}
	c.event(Event{Kind: kind, Zone: z.name})
}

// cutZones returns what this host tells its zone if it is a bridge.
func (c *Core) cutZones() (bridge bool, cut []string) {
	if !c.isBridge() {
		return false, nil
	}
	for _, z := range c.otherZones() {
		if z.cutBy[c.self.rec.Name] {
			cut = append(cut, z.name)
		}
	}
	return true, cut
}

// heardFrom notes that the sender can be heard, and what it says of zones if
// it is a bridge of this zone.
func (c *Core) heardFrom(m *Message) {
	h := c.hosts[m.From]
	if h == nil {
		return
	}
	z := c.zones[h.rec.Zone]
	z.heard = c.at
	if z != c.ownZone() {
		if z.cutBy[c.self.rec.Name] {
			c.setCut(z, c.self.rec.Name, false)
		}
		return
	}
	if !m.Bridge {
		return
	}
	for _, other := range c.otherZones() {
		if cut := slices.Contains(m.Cut, other.name); cut != other.cutBy[m.From] {
			c.setCut(other, m.From, cut)
		}
	}
}
