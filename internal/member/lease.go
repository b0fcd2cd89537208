package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of leases.
const (
	minReport  = 150 * time.Millisecond // between reports of a zone
	zoneReport = 60 * time.Millisecond  // the same, for each zone of the fleet
	leaseBase  = 2 * time.Second
	leaseSteps = 6 // reports that a lease outlives
	keptSights = 64
	leaseSlack = 500 * time.Millisecond // the control quorum waits longer than the host
	maxBehind  = 2                      // late hosts named in a beacon
)

// Lease tells how long ago a host was last known to be in contact with the
// control quorum.
type Lease struct {
	Age     time.Duration
	Length  time.Duration
	Held    bool // the host has had a lease since it started
	Expired bool
}

// beaconState is what a host knows of the control quorum.
type beaconState struct {
	newest  *Beacon
	got     time.Duration            // when it came
	seen    map[uint64]time.Duration // by number: when it was first seen
	start   time.Duration            // of this host's lease
	held    bool                     // this host had a lease at some time
	leading bool
	since   time.Duration // of leading
	longest time.Duration // lease length known
	mine    Beacon
	next    time.Duration
	control int // next control host that is tried while no leader is known
}

// SetLeading tells the core whether this host leads the control hosts and has
// the contact of a quorum of them.
func (c *Core) SetLeading(leading bool) {
	if leading && !c.beacon.leading {
		c.startLeading()
	}
	c.beacon.leading = leading
}

// startLeading grants a whole lease to every host, since an earlier leader may
// have renewed it just now.
func (c *Core) startLeading() {
	epoch := uint64(1)
	if c.beacon.newest != nil {
		epoch = c.beacon.newest.Epoch>>32 + 1
	}
	c.beacon.since = c.at
	c.beacon.mine = Beacon{Epoch: epoch<<32 | uint64(c.self.hash), Leader: c.self.rec.Gossip}
	for _, h := range c.hosts {
		h.leased, h.granted = c.at, 0
	}
}

func (b *beaconState) epoch() uint64 {
	if b.newest == nil {
		return 0
	}
	return b.newest.Epoch
}

func (c *Core) reportInterval() time.Duration {
	return max(minReport, time.Duration(len(c.zones))*zoneReport)
}

// leaseLength is the length of leases that this host grants. It never
// shrinks, since a host may still hold a lease of the former length.
func (c *Core) leaseLength() time.Duration {
	b := &c.beacon
	if b.newest != nil {
		b.longest = max(b.longest, time.Duration(b.newest.LeaseMS)*time.Millisecond)
	}
	b.longest = max(b.longest, leaseBase+leaseSteps*c.reportInterval())
	return b.longest
}

// lead emits the next beacon if this host leads.
func (c *Core) lead() {
	b := &c.beacon
	if !b.leading {
		return
	}
	if b.newest != nil && b.newest.Epoch > b.mine.Epoch {
		c.startLeading() // the earlier epoch was not known here
	}
	if c.at < b.next {
		return
	}
	b.next = c.at + c.reportInterval()
	b.mine.Seq++
	b.mine.LeaseMS = uint32(c.leaseLength() / time.Millisecond)
	b.mine.Revision, b.mine.Behind = c.fleetProgress()
	z := c.ownZone()
	s := c.summary()
	c.grant(z, s)
	c.takeBeacon(c.answer(s))
}

func (c *Core) answer(s *Summary) *Beacon {
	answer := c.beacon.mine
	answer.List, answer.Ack, answer.Late = s.List, s.Ack, s.Late
	return &answer
}

// grant notes what a zone has reported and renews the leases of its hosts.
func (c *Core) grant(z *zone, s *Summary) bool {
	list := z.list()
	if s.List != z.hash {
		return false
	}
	for i, h := range list {
		revision, ack := s.of(i)
		h.revision = max(h.revision, revision)
		if s.Epoch == c.beacon.mine.Epoch && ack > h.granted || h == c.self {
			h.granted, h.leased = ack, c.at
		}
	}
	return true
}

// fleetProgress returns the revision that every host but a few has in force.
func (c *Core) fleetProgress() (uint64, []Behind) {
	var all []Behind
	for _, h := range c.hosts {
		if h.rec.live() && !c.zones[h.rec.Zone].cut {
			all = append(all, Behind{Name: h.rec.Name, Revision: h.revision})
		}
	}
	slices.SortFunc(all, func(a, b Behind) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	floor := all[min(maxBehind, len(all)-1)].Revision
	n, _ := slices.BinarySearchFunc(all, floor, func(b Behind, r uint64) int { return cmp.Compare(b.Revision, r) })
	return floor, all[:n]
}

// reportNext reports the zone's progress to the leading control host.
func (c *Core) reportNext() {
	if c.at < c.next.report || !c.isBridge() {
		return
	}
	z := c.ownZone()
	n := len(z.bridgeHosts())
	c.next.report = c.at + time.Duration(n)*c.reportInterval()
	to := c.leader()
	if to == "" || to == c.self.rec.Gossip {
		return
	}
	c.sendRaw(to, &Message{Kind: Report, Zone: z.name, Summary: c.summary()})
}

// leader returns the gossip address of the leading control host. While none
// is heard, the control hosts are tried in turn.
func (c *Core) leader() string {
	b := &c.beacon
	if b.newest != nil && c.at-b.got < leaseSteps*c.reportInterval() {
		return b.newest.Leader
	}
	var control []string
	for _, name := range slices.Sorted(maps.Keys(c.hosts)) {
		h := c.hosts[name]
		if h.rec.Roles&roleControl != 0 && h.rec.live() {
			control = append(control, h.rec.Gossip)
		}
	}
	if len(control) == 0 {
		return ""
	}
	b.control++
	return control[b.control%len(control)]
}

func (c *Core) takeReport(from string, m *Message) {
	z := c.zones[m.Zone]
	if z == nil || m.Summary == nil || !c.beacon.leading || z == c.ownZone() {
		return
	}
	if !c.grant(z, m.Summary) {
		m.Summary = &Summary{} // hosts that are not known here get no lease
	}
	c.sendRaw(from, &Message{Kind: Answer, Beacon: c.answer(m.Summary)})
}

// takeBeacon learns of a newer beacon and renews this host's lease.
func (c *Core) takeBeacon(n *Beacon) {
	b := &c.beacon
	if n == nil || !n.newer(b.newest) {
		return
	}
	if b.newest == nil || n.Epoch != b.newest.Epoch {
		b.seen = map[uint64]time.Duration{}
		c.self.ack = 0
		for _, h := range c.ownZone().hosts {
			h.ack = 0 // counted beacons of an earlier epoch
		}
	}
	if _, ok := b.seen[n.Seq]; !ok {
		b.seen[n.Seq] = c.elapsed
		delete(b.seen, n.Seq-keptSights)
	}
	b.newest, b.got = n, c.at
	c.self.ack = max(c.self.ack, n.Seq)
	c.renew(n)
	c.takeFleetProgress(n)
}

func (c *Core) renew(n *Beacon) {
	z := c.ownZone()
	index := slices.Index(z.list(), c.self)
	if n.List != z.hash || index < 0 {
		return
	}
	_, ack := (&Summary{Ack: n.Ack, Late: n.Late}).of(index)
	if at, ok := c.beacon.seen[ack]; ok && (at > c.beacon.start || !c.beacon.held) {
		c.beacon.start, c.beacon.held = at, true
	}
}

func (c *Core) takeFleetProgress(n *Beacon) {
	if c.beacon.leading {
		return
	}
	behind := map[string]uint64{}
	for _, b := range n.Behind {
		behind[b.Name] = b.Revision
	}
	for name, h := range c.hosts {
		revision, late := behind[name]
		if !late {
			revision = n.Revision
		}
		if h.rec.live() && h.rec.Zone != c.self.rec.Zone {
			h.revision = max(h.revision, revision)
		}
	}
}

// Lease returns this host's own lease. A host that has none is detached: it
// must not count on the table being in force.
func (c *Core) Lease(now time.Time) Lease {
	b := &c.beacon
	if !b.held {
		return Lease{Expired: true}
	}
	age := c.elapsed - b.start + max(0, now.Sub(c.last))
	l := Lease{Held: true, Age: age, Length: time.Duration(b.newest.LeaseMS) * time.Millisecond}
	l.Expired = l.Age >= l.Length
	return l
}

// LeaseOf returns the lease of a host as this host, which leads the control
// hosts, counts it. Unless it leads, no lease counts as expired.
func (c *Core) LeaseOf(name string) Lease {
	l := Lease{Held: true, Length: c.leaseLength() + leaseSlack}
	h := c.hosts[name]
	if h == nil || !c.beacon.leading {
		return l
	}
	l.Age = c.at - max(h.leased, c.beacon.since)
	l.Expired = l.Age >= l.Length
	return l
}
