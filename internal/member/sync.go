package member

import (
	"slices"
	"time"
)

// Sizes of comparisons.
const (
	maxDigests   = 8    // zones in one digest
	maxSlices    = 4    // slices compared at once
	maxVersions  = 70   // records in one comparison
	versionBytes = 15   // bytes of one version in a comparison
	recordBytes  = 1000 // bytes of records in one message
	hurrySync    = 300 * time.Millisecond
	maxWanted    = 100
	digestsEqual = 0 // number of an Ack that only says that the sender lives
)

// syncNext compares records with another host of the zone, and as a bridge
// with another zone. A host that finds itself behind does so more often.
func (c *Core) syncNext() {
	c.contactZones()
	if c.at < c.next.sync {
		return
	}
	c.next.sync = c.at + syncInterval
	for _, h := range c.sample(c.peers(), 1) {
		c.sendDigest(h.rec.Gossip)
	}
}

// reviveNext contacts a dead host or a seed, which joins what a partition, or
// a start at the same time, had separated.
func (c *Core) reviveNext() {
	if c.at < c.next.revive {
		return
	}
	c.next.revive = c.at + reviveInterval
	var dead []*host
	for _, h := range c.hosts {
		if h.rec.State == rankDead {
			dead = append(dead, h)
		}
	}
	slices.SortFunc(dead, func(a, b *host) int { return int(int64(a.hash) - int64(b.hash)) })
	for _, h := range c.sample(dead, 1) {
		m := &Message{Kind: Digest, Hosts: []HostRecord{c.self.rec, h.rec}}
		c.sendRaw(h.rec.Gossip, m)
	}
	if len(c.seeds) > 0 && (len(c.peers()) == 0 || len(c.hosts) <= len(c.seeds) || c.rand.IntN(10) == 0) {
		c.sendDigest(c.seeds[c.rand.IntN(len(c.seeds))])
	}
}

// sendDigest starts a comparison: own zone first, then some others.
func (c *Core) sendDigest(to string) {
	m := &Message{Kind: Digest, Hosts: []HostRecord{c.self.rec}}
	others := c.otherZones()
	c.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, z := range append([]*zone{c.ownZone()}, others[:min(len(others), maxDigests-1)]...) {
		m.Zones = append(m.Zones, ZoneDigest{Zone: z.name, Sum: z.sum()})
	}
	c.sendRaw(to, m)
}

func (c *Core) compareZones(from string, m *Message) {
	for _, d := range m.Zones {
		z := c.zones[d.Zone]
		if z != nil && z.sum() == d.Sum {
			continue
		}
		sums := make([]uint32, parts)
		if z != nil {
			copy(sums, z.sums[:])
		}
		c.sendRaw(from, &Message{Kind: Parts, Zone: d.Zone, Slices: sums})
		return // one zone at a time, the sender's own first
	}
	c.sendRaw(from, &Message{Kind: Ack, Seq: digestsEqual})
}

func (c *Core) compareSlices(from string, m *Message) {
	z := c.zones[m.Zone]
	if z == nil || len(m.Slices) != parts {
		return
	}
	c.next.sync = min(c.next.sync, c.at+hurrySync)
	start := c.rand.IntN(parts)
	sent := 0
	for i := range parts {
		slice := (start + i) % parts
		if m.Slices[slice] == z.sums[slice] || sent == maxSlices {
			continue
		}
		sent++
		list := z.versions(slice)
		if c.rumors.spend(versionBytes * len(list)) {
			c.sendRaw(from, &Message{Kind: Versions, Zone: z.name, Slice: slice, Versions: list})
		}
	}
}

// versions returns the versions of the live records of one slice.
func (z *zone) versions(slice int) []Version {
	var list []Version
	z.each(slice, func(key uint32, version uint64, live bool, _ *host, _ *item) {
		if live && len(list) < maxVersions {
			list = append(list, Version{Key: key, Version: version})
		}
	})
	slices.SortFunc(list, func(a, b Version) int { return int(int64(a.Key) - int64(b.Key)) })
	return list
}

// each calls fn for every record of a slice, live or not.
func (z *zone) each(slice int, fn func(key uint32, version uint64, live bool, h *host, i *item)) {
	for _, h := range z.hosts {
		if int(h.hash%parts) == slice {
			fn(h.hash, h.rec.Version, h.rec.live(), h, nil)
		}
	}
	for _, i := range z.items {
		if hash := hashOf(itemRumor(i.Key)); int(hash%parts) == slice {
			fn(hash, i.Version, !i.Gone, nil, i)
		}
	}
}

// compareVersions sends what the other host lacks and asks for what this host
// lacks. A tombstone is sent only where the other host has the record.
func (c *Core) compareVersions(from string, m *Message) {
	theirs := map[uint32]uint64{}
	for _, v := range m.Versions {
		theirs[v.Key] = v.Version
	}
	var hosts []HostRecord
	var items []Item
	if z := c.zones[m.Zone]; z != nil {
		z.each(m.Slice, func(key uint32, version uint64, live bool, h *host, i *item) {
			other, has := theirs[key]
			if (has && other >= version && live) || (!has && !live) || (has && other > version) {
				if other <= version {
					delete(theirs, key)
				}
				return
			}
			delete(theirs, key)
			if h != nil {
				hosts = append(hosts, h.rec)
			} else {
				items = append(items, i.Item)
			}
		})
	}
	c.sendRecords(from, hosts, items)
	c.askFor(from, theirs)
}

func (c *Core) askFor(from string, lacking map[uint32]uint64) {
	if len(lacking) == 0 {
		return
	}
	want := make([]uint32, 0, len(lacking))
	for key := range lacking {
		want = append(want, key)
	}
	slices.Sort(want)
	c.sendRaw(from, &Message{Kind: Want, Wanted: want[:min(len(want), maxWanted)]})
}

func (c *Core) sendWanted(from string, m *Message) {
	var hosts []HostRecord
	var items []Item
	for _, h := range c.hosts {
		if slices.Contains(m.Wanted, h.hash) {
			hosts = append(hosts, h.rec)
		}
	}
	for _, i := range c.items {
		if slices.Contains(m.Wanted, hashOf(itemRumor(i.Key))) {
			items = append(items, i.Item)
		}
	}
	c.sendRecords(from, hosts, items)
}

// sendRecords sends records in as many messages as they need and the byte
// budget allows. What it does not allow waits for the next comparison.
func (c *Core) sendRecords(to string, hosts []HostRecord, items []Item) {
	slices.SortFunc(hosts, func(a, b HostRecord) int { return int(int64(hashOf(a.Name)) - int64(hashOf(b.Name))) })
	slices.SortFunc(items, func(a, b Item) int { return int(int64(hashOf(a.Key)) - int64(hashOf(b.Key))) })
	m, room := &Message{Kind: Records}, recordBytes
	fit := func(size int) bool {
		if !c.rumors.spend(size) {
			return false
		}
		if size > room {
			c.sendRaw(to, m)
			m, room = &Message{Kind: Records}, recordBytes
		}
		room -= size
		return true
	}
	for _, r := range hosts {
		if fit(r.size()) {
			m.Hosts = append(m.Hosts, r)
		}
	}
	for _, i := range items {
		if fit(i.size()) {
			m.Items = append(m.Items, i)
		}
	}
	if len(m.Hosts)+len(m.Items) > 0 {
		c.sendRaw(to, m)
	}
}
