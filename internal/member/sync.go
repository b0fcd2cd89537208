package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Sizes and intervals of comparisons.
const (
	maxDigests       = 8           // zones in one digest
	entryBytes       = 8           // bytes of one record in a comparison
	maxPackedBytes   = 1000        // bytes of the entries of one comparison
	maxRecordBytes   = 1000        // bytes of records in one message
	fastSyncInterval = time.Second // until the next comparison after one that found differences
	maxWanted        = 100         // hashes in one Want
	seedRounds       = 4           // average number of rejoin intervals until any of the hosts contacts a seed
	digestsEqualSeq  = 0           // Seq of an Ack that only shows that the sender is reachable; no probe has it
)

// syncNext compares records with another host of the zone, and on a bridge with
// another zone. A host whose records differ compares again sooner.
func (c *Core) syncNext() {
	c.contactZones()
	if c.runTime < c.next.sync {
		return
	}
	c.next.sync = c.runTime + syncInterval
	for _, h := range c.sample(c.peers(), 1) {
		c.sendDigest(h.rec.Gossip)
	}
}

// rejoinNext contacts a dead host and sometimes a seed. This joins hosts that a
// partition or a simultaneous start has kept apart.
func (c *Core) rejoinNext() {
	if c.runTime < c.next.rejoin {
		return
	}
	c.next.rejoin = c.runTime + rejoinInterval
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
	if len(c.seeds) > 0 && (len(c.peers()) == 0 || len(c.hosts) <= len(c.seeds) || c.rand.IntN(seedRounds*len(c.hosts)) == 0) {
		c.sendDigest(c.seeds[c.rand.IntN(len(c.seeds))])
	}
}

// sendDigest starts a comparison of the own zone and some others chosen at
// random.
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
		sums := make([]uint32, slicesPerZone)
		if z != nil {
			copy(sums, z.sums[:])
		}
		c.sendRaw(from, &Message{Kind: SliceDigests, Zone: d.Zone, Slices: sums})
		return // one zone per comparison, the sender's own first
	}
	c.sendRaw(from, &Message{Kind: Ack, Seq: digestsEqualSeq})
}

func (c *Core) compareSlices(from string, m *Message) {
	z := c.zones[m.Zone]
	if z == nil || len(m.Slices) != slicesPerZone {
		return
	}
	c.next.sync = min(c.next.sync, c.runTime+fastSyncInterval)
	start := c.rand.IntN(slicesPerZone)
	answer := &Message{Kind: Versions, Zone: z.name}
	for i := range slicesPerZone {
		slice := (start + i) % slicesPerZone
		if m.Slices[slice] == z.sums[slice] {
			continue
		}
		packed := z.versions(slice)
		if answer.Mask != 0 && len(answer.Packed)+len(packed) > maxPackedBytes {
			break
		}
		answer.Mask |= 1 << slice
		answer.Packed = append(answer.Packed, packed[:min(len(packed), maxPackedBytes)]...)
	}
	if answer.Mask != 0 && c.budgetFor(m).allow(len(answer.Packed)) {
		c.sendRaw(from, answer)
	}
}

// digestEntry identifies a record and its version in a comparison.
type digestEntry struct{ key, version uint32 }

// versions returns the packed entries of the live records of one slice.
func (z *zone) versions(slice int) []byte {
	var list []digestEntry
	z.each(1<<slice, func(e digestEntry, live bool, _ *host, _ *item) {
		if live {
			list = append(list, e)
		}
	})
	slices.SortFunc(list, func(a, b digestEntry) int { return cmp.Compare(a.key, b.key) })
	packed := make([]byte, 0, entryBytes*len(list))
	for _, e := range list {
		packed = binary.LittleEndian.AppendUint32(packed, e.key)
		packed = binary.LittleEndian.AppendUint32(packed, e.version)
	}
	return packed
}

// each calls fn for every record of the slices in the mask. live is false for a
// tombstone.
func (z *zone) each(mask uint32, fn func(e digestEntry, live bool, h *host, i *item)) {
	for _, h := range z.hosts {
		if mask&(1<<(h.hash%slicesPerZone)) != 0 {
			fn(digestEntry{h.hash, recordSum(h.hash, h.rec.Version)}, h.rec.live(), h, nil)
		}
	}
	for _, i := range z.items {
		if mask&(1<<(i.hash%slicesPerZone)) != 0 {
			fn(digestEntry{i.hash, recordSum(i.hash, i.Version)}, !i.Gone, nil, i)
		}
	}
}

// compareVersions sends the records that the other host lacks or has in another
// version, and requests those that this host lacks. A host that gets an older
// record than its own answers with the newer one. A tombstone is sent only if the
// other host has the record.
func (c *Core) compareVersions(from string, m *Message) {
	theirs := map[uint32]uint32{}
	for p := m.Packed; len(p) >= entryBytes; p = p[entryBytes:] {
		theirs[binary.LittleEndian.Uint32(p)] = binary.LittleEndian.Uint32(p[4:])
	}
	var hosts []HostRecord
	var items []Item
	if z := c.zones[m.Zone]; z != nil {
		z.each(m.Mask, func(e digestEntry, live bool, h *host, i *item) {
			version, has := theirs[e.key]
			delete(theirs, e.key)
			if (has && live && version == e.version) || (!has && !live) {
				return
			}
			if h != nil {
				hosts = append(hosts, h.rec)
			} else {
				items = append(items, i.Item)
			}
		})
	}
	c.sendRecords(from, c.budgetFor(m), hosts, items)
	c.requestRecords(from, theirs)
}

func (c *Core) requestRecords(from string, lacking map[uint32]uint32) {
	if len(lacking) == 0 {
		return
	}
	want := slices.Sorted(maps.Keys(lacking))
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
		if slices.Contains(m.Wanted, i.hash) {
			items = append(items, i.Item)
		}
	}
	c.sendRecords(from, c.budgetFor(m), hosts, items)
}

// sendRecords sends records in as many messages as necessary. Records that exceed
// the byte budget wait for the next comparison.
func (c *Core) sendRecords(to string, b *budget, hosts []HostRecord, items []Item) {
	slices.SortFunc(hosts, func(a, b HostRecord) int { return int(int64(hashOf(a.Name)) - int64(hashOf(b.Name))) })
	slices.SortFunc(items, func(a, b Item) int { return int(int64(hashOf(a.Key)) - int64(hashOf(b.Key))) })
	m, room := &Message{Kind: Records}, maxRecordBytes
	reserve := func(size int) bool {
		if !b.allow(size) {
			return false
		}
		if size > room {
			c.sendRaw(to, m)
			m, room = &Message{Kind: Records}, maxRecordBytes
		}
		room -= size
		return true
	}
	for _, r := range hosts {
		if reserve(r.size()) {
			m.Hosts = append(m.Hosts, r)
		}
	}
	for _, i := range items {
		if reserve(i.size()) {
			m.Items = append(m.Items, i)
		}
	}
	if len(m.Hosts)+len(m.Items) > 0 {
		c.sendRaw(to, m)
	}
}
