package place

import (
	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/table"
)

// Numbers of hosts compared for one role. After about homeProbes hosts the search
// ends if one of them is in a zone without another host of the bucket. Otherwise it
// ends after about maxProbes.
const (
	homeProbes = 8
	maxProbes  = 128
)

// homeChooser spreads homes and backups evenly over the hosts.
type homeChooser struct {
	hosts    map[table.HostNum]*hostView
	eligible []*hostView // sorted by number
}

func newHomeChooser(hosts map[table.HostNum]*hostView) homeChooser {
	c := homeChooser{hosts: hosts}
	for _, h := range sortedHosts(hosts) {
		if h.eligible {
			c.eligible = append(c.eligible, h)
		}
	}
	return c
}

// roles returns the home and the backups of the bucket, 0 where there is none.
func roles(b *table.Bucket) [1 + table.MaxBackups]table.HostNum {
	return [1 + table.MaxBackups]table.HostNum{b.Home, b.Backups[0], b.Backups[1]}
}

// addRoles counts the roles of the bucket at its hosts. A sign of 1 adds them to
// the counts, a sign of -1 subtracts them.
func (c *homeChooser) addRoles(b *table.Bucket, sign int) {
	for i, n := range roles(b) {
		h := c.hosts[n]
		if h == nil {
			continue
		}
		h.roles += sign
		if i == 0 {
			h.homes += sign
		}
	}
}

// fillRoles gives the bucket a home, if it has none, and its missing backups. New
// backups come after the existing ones and are not synced.
func (c *homeChooser) fillRoles(b *table.Bucket, key uint64) {
	if b.Home == 0 {
		b.Home = c.choose(b, key, fewerHomes)
		c.countHome(b.Home)
	}
	for i := range b.Backups {
		if b.Backups[i] == 0 && b.Home != 0 {
			b.Backups[i] = c.choose(b, key+uint64(i)+1, fewerRoles)
			b.Synced &^= 1 << i
		}
	}
}

func (c *homeChooser) countHome(n table.HostNum) {
	if h := c.hosts[n]; h != nil {
		h.homes++
	}
}

// fewerHomes reports whether a is the home of fewer buckets than b, and so
// receives fewer relayed packets.
func fewerHomes(a, b *hostView) bool {
	return a.homes < b.homes || a.homes == b.homes && a.roles < b.roles
}

// fewerRoles reports whether a has fewer roles than b, and so holds fewer records.
func fewerRoles(a, b *hostView) bool { return a.roles < b.roles }

// choose returns the best of a limited number of hosts that have no role in the
// bucket: the one that shares its zone with the fewest hosts of the bucket, and
// among equal ones the first by less. It adds the role to the count of the chosen
// host. It returns 0 if there is no such host.
func (c *homeChooser) choose(b *table.Bucket, key uint64, less func(a, b *hostView) bool) table.HostNum {
	var best *hostView
	bestShared := 0
	start := int(mix(key) % uint64(max(1, len(c.eligible))))
	for i := range c.eligible {
		h := c.eligible[(start+i)%len(c.eligible)]
		if hasRole(b, h.Num) {
			continue
		}
		shared := c.hostsInZone(b, h.Zone)
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

// hostsInZone returns the number of hosts in the zone that have a role in the
// bucket.
func (c *homeChooser) hostsInZone(b *table.Bucket, zone string) int {
	n := 0
	for _, num := range roles(b) {
		if h := c.hosts[num]; h != nil && h.Zone == zone {
			n++
		}
	}
	return n
}

// repair takes the roles from hosts that lost their records or are leaving,
// replaces the home if necessary, and fills the vacant roles.
func (c *homeChooser) repair(b *table.Bucket, key uint64) {
	if c.complete(b) {
		return
	}
	c.addRoles(b, -1)
	c.dropBackups(b)
	home := c.hosts[b.Home]
	switch {
	case home == nil || !home.hasRecords:
		c.promote(b, true)
	case home.leaving:
		c.promote(b, false)
	}
	c.addRoles(b, 1)
	c.fillRoles(b, key)
}

// complete reports whether the bucket has a home and all backups, and none of these
// hosts has lost its records or is leaving.
func (c *homeChooser) complete(b *table.Bucket) bool {
	for _, n := range roles(b) {
		if h := c.hosts[n]; h == nil || !h.hasRecords || h.leaving {
			return false
		}
	}
	return true
}

// dropBackups removes the backups that lost their records or are leaving.
func (c *homeChooser) dropBackups(b *table.Bucket) {
	var kept table.Bucket
	n := 0
	for i, num := range b.Backups {
		h := c.hosts[num]
		if h == nil || !h.hasRecords || h.leaving {
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

// promote makes the synced backup with the fewest homes the home. If no backup is
// synced, a leaving home stays until one is, and a lost home is replaced by the
// first backup, which has the records that reached it. Without any backup a lost
// home leaves the role vacant. The other backup is not synced until the new home
// confirms its copy.
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

// bucketKey returns the key of a bucket, which determines the first host that is
// considered for its roles.
func bucketKey(service string, index int) uint64 {
	return xxhash.Sum64String(service) + uint64(index)*goldenRatio
}

// goldenRatio is the fractional part of the golden ratio, times 2^64.
const goldenRatio = 0x9e3779b97f4a7c15

// mix returns a 64-bit hash of the key.
func mix(key uint64) uint64 {
	key ^= key >> 32
	key *= goldenRatio
	key ^= key >> 29
	return key
}
