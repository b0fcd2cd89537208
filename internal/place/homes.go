package place

import (
	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/table"
)

// Numbers of hosts that are compared for one role: homeProbes if one of them is
// in a zone of its own, else up to maxProbes.
const (
	homeProbes = 8
	maxProbes  = 128
)

// homeChooser spreads homes and backups evenly over the hosts.
type homeChooser struct {
	hosts map[table.HostNum]*hostView
	fit   []*hostView // in the order of their numbers
}

func newHomeChooser(hosts map[table.HostNum]*hostView) homeChooser {
	c := homeChooser{hosts: hosts}
	for _, h := range sortedHosts(hosts) {
		if h.fit {
			c.fit = append(c.fit, h)
		}
	}
	return c
}

// roles returns the hosts of the bucket, 0 where there is none.
func roles(b *table.Bucket) [1 + table.MaxBackups]table.HostNum {
	return [1 + table.MaxBackups]table.HostNum{b.Home, b.Backups[0], b.Backups[1]}
}

// note counts the roles that a bucket gives to hosts.
func (c *homeChooser) note(b *table.Bucket, by int) {
	for i, n := range roles(b) {
		h := c.hosts[n]
		if h == nil {
			continue
		}
		h.roles += by
		if i == 0 {
			h.homes += by
		}
	}
}

// fill gives the bucket a home, if it has none, and its missing backups. A new
// backup comes last and is not synced.
func (c *homeChooser) fill(b *table.Bucket, key uint64) {
	if b.Home == 0 {
		b.Home = c.choose(b, key, fewerHomes)
		c.noteHome(b.Home)
	}
	for i := range b.Backups {
		if b.Backups[i] == 0 && b.Home != 0 {
			b.Backups[i] = c.choose(b, key+uint64(i)+1, fewerRoles)
			b.Synced &^= 1 << i
		}
	}
}

func (c *homeChooser) noteHome(n table.HostNum) {
	if h := c.hosts[n]; h != nil {
		h.homes++
	}
}

// fewerHomes compares the relayed packets that hosts take.
func fewerHomes(a, b *hostView) bool {
	return a.homes < b.homes || a.homes == b.homes && a.roles < b.roles
}

// fewerRoles compares the records that hosts keep.
func fewerRoles(a, b *hostView) bool { return a.roles < b.roles }

// choose returns the best of a few hosts that have no role in the bucket: one
// in a zone of its own first, the one with less to do next.
func (c *homeChooser) choose(b *table.Bucket, key uint64, less func(a, b *hostView) bool) table.HostNum {
	var best *hostView
	bestShared := 0
	start := int(mix(key) % uint64(max(1, len(c.fit))))
	for i := range c.fit {
		h := c.fit[(start+i)%len(c.fit)]
		if hasRole(b, h.Num) {
			continue
		}
		shared := c.sharedZones(b, h.Zone)
		if best == nil || shared < bestShared || shared == bestShared && less(h, best) {
			best, bestShared = h, shared
		}
		if i >= homeProbes && bestShared == 0 || i >= maxProbes {
			break
		}
	}
	if best == nil {
		return 0
	}
	best.roles++
	return best.Num
}

func hasRole(b *table.Bucket, n table.HostNum) bool {
	return b.Home == n || b.Backups[0] == n || b.Backups[1] == n
}

// sharedZones counts the hosts of the bucket in the zone.
func (c *homeChooser) sharedZones(b *table.Bucket, zone string) int {
	n := 0
	for _, num := range roles(b) {
		if h := c.hosts[num]; h != nil && h.Zone == zone {
			n++
		}
	}
	return n
}

// repair removes hosts that lost their records from the bucket's roles, hands
// the home over where it must go, and fills the gaps.
func (c *homeChooser) repair(b *table.Bucket, key uint64) {
	if c.complete(b) {
		return
	}
	c.note(b, -1)
	c.dropBackups(b)
	home := c.hosts[b.Home]
	switch {
	case home == nil || !home.keeps:
		c.promote(b, true)
	case home.leaving:
		c.promote(b, false)
	}
	c.note(b, 1)
	c.fill(b, key)
}

// complete reports whether nothing is to be repaired.
func (c *homeChooser) complete(b *table.Bucket) bool {
	for _, n := range roles(b) {
		if h := c.hosts[n]; h == nil || !h.keeps || h.leaving {
			return false
		}
	}
	return true
}

// dropBackups removes the backups that lost their records.
func (c *homeChooser) dropBackups(b *table.Bucket) {
	var kept table.Bucket
	n := 0
	for i, num := range b.Backups {
		h := c.hosts[num]
		if h == nil || !h.keeps || h.leaving {
			continue
		}
		kept.Backups[n] = num
		if b.IsSynced(i) {
			kept.Synced |= 1 << n
		}
		n++
	}
	b.Backups, b.Synced = kept.Backups, kept.Synced
}

// promote makes the synced backup with the fewest homes the home. Without one,
// a home that is leaving stays until there is, and a lost home is followed by
// the first backup, which has the records that reached it. The new home has
// yet to confirm what the other backup holds.
func (c *homeChooser) promote(b *table.Bucket, lost bool) {
	best := -1
	for i, num := range b.Backups {
		if num == 0 || !b.IsSynced(i) {
			continue
		}
		if best < 0 || fewerHomes(c.hosts[num], c.hosts[b.Backups[best]]) {
			best = i
		}
	}
	if best < 0 {
		if !lost {
			return
		}
		best = 0
	}
	other := b.Backups[1-best]
	b.Home = b.Backups[best]
	b.Backups = [table.MaxBackups]table.HostNum{other}
	b.Synced = 0
}

// bucketKey identifies a bucket for the choice of hosts.
func bucketKey(service string, index int) uint64 {
	return xxhash.Sum64String(service) + uint64(index)*goldenRatio
}

// goldenRatio is the fraction of the golden ratio in 64 bits.
const goldenRatio = 0x9e3779b97f4a7c15

// mix spreads a key over all bits.
func mix(key uint64) uint64 {
	key ^= key >> 32
	key *= goldenRatio
	key ^= key >> 29
	return key
}
