package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Intervals and limits of leases.
const (
	minReportInterval     = 150 * time.Millisecond // shortest interval between reports of a zone
	reportIntervalPerZone = 60 * time.Millisecond  // with many zones, the report interval is this times their number
	leaseBase             = 2 * time.Second
	leaseReports          = 6                      // report intervals that a lease lasts beyond leaseBase
	keptHeartbeats        = 64                     // heartbeats whose time of arrival is kept
	leaseSlack            = 500 * time.Millisecond // the control quorum waits this much longer than the host
	maxBehind             = 2                      // hosts listed in Heartbeat.Behind
)

// Lease is the state of a host's lease. Age is the time since the host was last
// known to be in contact with the control quorum.
type Lease struct {
	Age     time.Duration
	Length  time.Duration
	Held    bool // the host has obtained a lease at some time since it started
	Expired bool
}

// quorumState is what a host knows of the control quorum.
type quorumState struct {
	latest        *Heartbeat
	receivedAt    time.Duration            // when the heartbeat in latest arrived
	firstSeen     map[uint64]time.Duration // by Seq: when the heartbeat first arrived
	leaseStart    time.Duration            // start of this host's lease
	hadLease      bool                     // this host has obtained a lease at some time
	leading       bool
	leadingSince  time.Duration // when this host started to lead
	maxLength     time.Duration // greatest lease length seen or granted
	own           Heartbeat     // issued while this host leads; heartbeatFor adds List, Ack and Late
	nextHeartbeat time.Duration
	lastControl   int // number of the control host tried last while no leader is known
}

// SetLeading sets whether this host leads the control hosts and is in contact
// with a quorum of them.
func (c *Core) SetLeading(leading bool) {
	if leading && !c.quorum.leading {
		c.startLeading()
	}
	c.quorum.leading = leading
}

// startLeading starts a new epoch and grants every host a full lease, because
// the former leader may have renewed any lease a moment ago.
func (c *Core) startLeading() {
	epoch := uint64(1)
	if c.quorum.latest != nil {
		epoch = c.quorum.latest.Epoch>>32 + 1
	}
	c.quorum.leadingSince = c.runTime
	c.quorum.own = Heartbeat{Epoch: epoch<<32 | uint64(c.self.hash), Leader: c.self.rec.Gossip}
	for _, h := range c.hosts {
		h.leasedAt, h.grantedAck = c.runTime, 0
	}
}

func (b *quorumState) epoch() uint64 {
	if b.latest == nil {
		return 0
	}
	return b.latest.Epoch
}

func (c *Core) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(c.zones))*reportIntervalPerZone)
}

// leaseLength returns the length of the leases that this host grants. It never
// shrinks, since a host may still hold a lease of the former length.
func (c *Core) leaseLength() time.Duration {
	b := &c.quorum
	if b.latest != nil {
		b.maxLength = max(b.maxLength, time.Duration(b.latest.LeaseMS)*time.Millisecond)
	}
	b.maxLength = max(b.maxLength, leaseBase+leaseReports*c.reportInterval())
	return b.maxLength
}

// issueHeartbeat issues the next heartbeat when it is due, if this host leads.
func (c *Core) issueHeartbeat() {
	b := &c.quorum
	if !b.leading {
		return
	}
	if b.latest != nil && b.latest.Epoch > b.own.Epoch {
		c.startLeading() // this host did not know the higher epoch when it started to lead
	}
	if c.runTime < b.nextHeartbeat {
		return
	}
	b.nextHeartbeat = c.runTime + c.reportInterval()
	b.own.Seq++
	b.own.LeaseMS = uint32(c.leaseLength() / time.Millisecond)
	b.own.Revision, b.own.Behind = c.fleetProgress()
	z := c.ownZone()
	s := c.summary()
	c.applySummary(z, s)
	c.applyHeartbeat(c.heartbeatFor(s))
}

func (c *Core) heartbeatFor(s *Summary) *Heartbeat {
	answer := c.quorum.own
	answer.List, answer.Ack, answer.Late = s.List, s.Ack, s.Late
	return &answer
}

// applySummary stores the progress that a zone has reported and renews the
// leases of this host and of those that have received a newer heartbeat of this
// host's epoch. It returns false and changes nothing if the zone's list of its
// live hosts differs from the one known here.
func (c *Core) applySummary(z *zone, s *Summary) bool {
	list := z.liveSorted()
	if s.List != z.hash {
		return false
	}
	for i, h := range list {
		revision, ack := s.progressOf(i)
		h.revision = max(h.revision, revision)
		if s.Epoch == c.quorum.own.Epoch && ack > h.grantedAck || h == c.self {
			h.grantedAck, h.leasedAt = ack, c.runTime
		}
	}
	return true
}

// fleetProgress returns the revision in force on all live hosts of reachable
// zones except for at most maxBehind hosts, and these exceptions.
func (c *Core) fleetProgress() (uint64, []HostRevision) {
	var all []HostRevision
	for _, h := range c.hosts {
		if h.rec.live() && !c.zones[h.rec.Zone].unreachable {
			all = append(all, HostRevision{Name: h.rec.Name, Revision: h.revision})
		}
	}
	slices.SortFunc(all, func(a, b HostRevision) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	floor := all[min(maxBehind, len(all)-1)].Revision
	n, _ := slices.BinarySearchFunc(all, floor, func(b HostRevision, r uint64) int { return cmp.Compare(b.Revision, r) })
	return floor, all[:n]
}

// reportNext reports the zone's progress to the leading control host.
func (c *Core) reportNext() {
	if c.runTime < c.next.report || !c.isBridge() {
		return
	}
	z := c.ownZone()
	n := len(z.bridgeHosts())
	c.next.report = c.runTime + time.Duration(n)*c.reportInterval()
	to := c.leader()
	if to == "" || to == c.self.rec.Gossip {
		return
	}
	c.sendRaw(to, &Message{Kind: Report, Zone: z.name, Summary: c.summary()})
}

// leader returns the gossip address of the leading control host. While no
// heartbeats arrive, each call returns the address of the next control host.
func (c *Core) leader() string {
	b := &c.quorum
	if b.latest != nil && c.runTime-b.receivedAt < leaseReports*c.reportInterval() {
		return b.latest.Leader
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
	b.lastControl++
	return control[b.lastControl%len(control)]
}

func (c *Core) handleReport(from string, m *Message) {
	z := c.zones[m.Zone]
	if z == nil || m.Summary == nil || !c.quorum.leading || z == c.ownZone() {
		return
	}
	if !c.applySummary(z, m.Summary) {
		// The answer acknowledges nothing while the lists differ, so that a
		// host that is not known here gets no lease.
		m.Summary = &Summary{}
	}
	c.sendRaw(from, &Message{Kind: Answer, Heartbeat: c.heartbeatFor(m.Summary)})
}

// applyHeartbeat stores a heartbeat that is newer than the latest and renews
// this host's lease.
func (c *Core) applyHeartbeat(hb *Heartbeat) {
	b := &c.quorum
	if hb == nil || !hb.newer(b.latest) {
		return
	}
	if b.latest == nil || hb.Epoch != b.latest.Epoch {
		b.firstSeen = map[uint64]time.Duration{}
		c.self.ack = 0
		for _, h := range c.ownZone().hosts {
			h.ack = 0 // it counted heartbeats of an earlier epoch
		}
	}
	if _, ok := b.firstSeen[hb.Seq]; !ok {
		b.firstSeen[hb.Seq] = c.elapsed
		delete(b.firstSeen, hb.Seq-keptHeartbeats)
	}
	b.latest, b.receivedAt = hb, c.runTime
	c.self.ack = max(c.self.ack, hb.Seq)
	c.renewLease(hb)
	c.applyFleetProgress(hb)
}

func (c *Core) renewLease(hb *Heartbeat) {
	z := c.ownZone()
	index := slices.Index(z.liveSorted(), c.self)
	if hb.List != z.hash || index < 0 {
		return
	}
	_, ack := (&Summary{Ack: hb.Ack, Late: hb.Late}).progressOf(index)
	if at, ok := c.quorum.firstSeen[ack]; ok && (at > c.quorum.leaseStart || !c.quorum.hadLease) {
		c.quorum.leaseStart, c.quorum.hadLease = at, true
	}
}

func (c *Core) applyFleetProgress(hb *Heartbeat) {
	if c.quorum.leading {
		return
	}
	behind := map[string]uint64{}
	for _, b := range hb.Behind {
		behind[b.Name] = b.Revision
	}
	for name, h := range c.hosts {
		revision, late := behind[name]
		if !late {
			revision = hb.Revision
		}
		if h.rec.live() && h.rec.Zone != c.self.rec.Zone {
			h.revision = max(h.revision, revision)
		}
	}
}

// Lease returns this host's own lease. A host whose lease has expired is cut off:
// it must not assume that its table is still in force.
func (c *Core) Lease(now time.Time) Lease {
	b := &c.quorum
	if !b.hadLease {
		return Lease{Expired: true}
	}
	age := c.elapsed - b.leaseStart + max(0, now.Sub(c.lastStep))
	l := Lease{Held: true, Age: age, Length: time.Duration(b.latest.LeaseMS) * time.Millisecond}
	l.Expired = l.Age >= l.Length
	return l
}

// LeaseOf returns the lease of a host as counted by this host. It returns an
// unexpired lease if this host does not lead the control hosts or does not know
// the host called name.
func (c *Core) LeaseOf(name string) Lease {
	l := Lease{Held: true, Length: c.leaseLength() + leaseSlack}
	h := c.hosts[name]
	if h == nil || !c.quorum.leading {
		return l
	}
	l.Age = c.runTime - max(h.leasedAt, c.quorum.leadingSince)
	l.Expired = l.Age >= l.Length
	return l
}
