package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/model"
)

// Options configure a core.
type Options struct {
	Self  model.Host
	Seeds []string   // gossip addresses to join through
	Rand  *rand.Rand // selects the hosts to probe and to send updates to
}

// Core holds one host's view of the others. It is not safe for concurrent use.
type Core struct {
	self          *host
	seeds         []string
	rand          *rand.Rand
	hosts         map[string]*host
	items         map[string]*item
	zones         map[string]*zone
	lastStep      time.Time
	runTime       time.Duration // time for which this host ran; a pause counts as at most maxStepGap
	elapsed       time.Duration // time since the first step, pauses included
	probes        map[uint64]*probe
	relayedProbes map[uint64]relayedProbe
	probeOrder    []string // hosts of the zone left to probe in this round
	seq           uint64
	healthScore   int // rises when this host's probes fail; 0 is healthy
	budgets       budgets
	updates       updateQueue
	urgent        []string // records of this zone that bridges send to other zones at once
	next          schedule
	quorum        quorumState
	stopped       bool // Leave was called
	out           Output
	suspects      map[string]*host
}

// schedule holds the times of the next periodic actions.
type schedule struct {
	probe, sync, bridge, rejoin, report, sweep time.Duration
	zone                                       int // next zone that a bridge contacts
}

// host is a known host.
type host struct {
	rec         HostRecord
	hash        uint32
	stateSince  time.Duration // when the state last changed
	suspectedAt time.Duration // when the suspicion was first received
	revision    uint64
	ack         uint64        // Seq of the last heartbeat that the host received, according to the gossip of its zone
	grantedAck  uint64        // Seq of the last heartbeat for which this host, as the leading control host, renewed the host's lease
	leasedAt    time.Duration // start of the host's lease as counted by this host if it is the leading control host
}

type item struct {
	Item
	hash     uint32
	storedAt time.Duration
}

// New returns the core of a host that knows only itself and its seeds.
func New(o Options) *Core {
	c := &Core{
		seeds: o.Seeds, rand: o.Rand,
		hosts: map[string]*host{}, items: map[string]*item{}, zones: map[string]*zone{},
		seq:    uint64(o.Rand.Uint32()), // random, so that answers to an earlier process match no probe
		probes: map[uint64]*probe{}, relayedProbes: map[uint64]relayedProbe{}, suspects: map[string]*host{},
	}
	c.updates.left = map[string]int{}
	c.budgets = budgets{updates: newBudget(updateBurst), sync: newBudget(syncBurst), bridge: newBudget(syncBurst)}
	c.self = &host{rec: recordOf(o.Self), hash: hashOf(o.Self.Name), revision: o.Self.Revision}
	c.hosts[o.Self.Name] = c.self
	c.zoneOf(o.Self.Zone).addHost(c.self)
	c.updates.add(o.Self.Name, c.fanOut())
	return c
}

func recordOf(h model.Host) HostRecord {
	r := HostRecord{Name: h.Name, Zone: h.Zone, Version: h.Incarnation << versionShift, RPC: h.RPC, Gossip: h.Gossip}
	if h.Relay.IsValid() {
		r.Relay = h.Relay.String()
	}
	if h.Entry {
		r.Roles |= roleEntry
	}
	if h.Control {
		r.Roles |= roleControl
	}
	return r
}

func (h *host) model() model.Host {
	relay, _ := netip.ParseAddrPort(h.rec.Relay)
	state := states[h.rec.State]
	if state == model.Alive && h.rec.Roles&roleLeaving != 0 {
		state = model.Leaving
	}
	return model.Host{
		Name: h.rec.Name, Zone: h.rec.Zone,
		Entry: h.rec.Roles&roleEntry != 0, Control: h.rec.Roles&roleControl != 0,
		Incarnation: h.rec.incarnation(), RPC: h.rec.RPC, Gossip: h.rec.Gossip, Relay: relay,
		State: state, Revision: h.revision,
	}
}

// Hosts returns the known hosts in the order of their names. Live hosts of an
// unreachable zone are returned as dead.
func (c *Core) Hosts() []model.Host {
	list := make([]model.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		m := h.model()
		if h.rec.live() && c.zones[h.rec.Zone].unreachable {
			m.State = model.Dead
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b model.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Self returns this host in the state it announces to the others.
func (c *Core) Self() model.Host { return c.self.model() }

// SetLeaving announces that this host is handing over its work.
func (c *Core) SetLeaving() {
	r := c.self.rec
	if r.Roles&roleLeaving == 0 {
		r.Roles |= roleLeaving
		r.Version++
		c.putHost(r)
	}
}

// SetRevision records the revision in force on this host.
func (c *Core) SetRevision(r uint64) { c.self.revision = max(c.self.revision, r) }

// Tick runs the periodic tasks that are due.
func (c *Core) Tick(now time.Time) Output {
	c.advance(now)
	if !c.stopped {
		c.expireProbes()
		c.expireSuspicions()
		c.probeNext()
		c.sendUrgent()
		c.syncNext()
		c.rejoinNext()
		c.issueHeartbeat()
		c.reportNext()
		c.sweep()
	}
	return c.flush()
}

// Step processes a message that arrived from the given gossip address.
func (c *Core) Step(now time.Time, from string, m *Message) Output {
	c.advance(now)
	if c.stopped || m.From == c.self.rec.Name {
		return c.flush()
	}
	c.mergeAll(from, m)
	c.markReachable(m)
	c.applyHeartbeat(m.Heartbeat)
	c.mergeProgress(m)
	switch m.Kind {
	case Ping:
		c.send(from, &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		c.handleAck(m.Seq)
	case PingReq:
		c.probeOnBehalf(from, m)
	case Digest:
		c.compareZones(from, m)
	case SliceDigests:
		c.compareSlices(from, m)
	case Versions:
		c.compareVersions(from, m)
	case Want:
		c.sendWanted(from, m)
	case Report:
		c.handleReport(from, m)
	case Direct:
		c.addEvent(Event{Kind: Received, From: m.From, Data: m.Data})
	}
	return c.flush()
}

// SendTo sends data of another package to a host once, without retries.
func (c *Core) SendTo(name string, data []byte) Output {
	if h := c.hosts[name]; h != nil {
		c.sendRaw(h.rec.Gossip, &Message{Kind: Direct, Data: data})
	}
	return c.flush()
}

// Leave tells some hosts of the zone and the bridges of the other zones that
// this host shuts down. Tick and Step do nothing afterwards.
func (c *Core) Leave(now time.Time) Output {
	c.advance(now)
	r := c.self.rec
	r.State = rankLeft
	c.putHost(r)
	receivers := c.sample(c.peers(), 4*indirectProbes)
	for _, z := range c.otherZones() {
		receivers = append(receivers, z.bridgeHosts()...)
	}
	for _, h := range receivers {
		c.sendRaw(h.rec.Gossip, &Message{Kind: Updates, Hosts: []HostRecord{r}})
	}
	c.stopped = true
	return c.flush()
}

// advance moves the clocks. After a pause of this host or a forward jump of its
// clock it drops the outstanding probes and restarts the suspicion timers, so
// that the lost time does not make other hosts look dead.
func (c *Core) advance(now time.Time) {
	if c.lastStep.IsZero() {
		c.lastStep = now
	}
	passed := max(0, now.Sub(c.lastStep))
	c.lastStep = now
	c.elapsed += passed
	c.runTime += min(passed, maxStepGap)
	c.budgets.refill(min(passed, maxStepGap))
	if passed > maxStepGap {
		clear(c.probes)
		clear(c.relayedProbes)
		for _, h := range c.suspects {
			h.suspectedAt = c.runTime
		}
		c.addEvent(Event{Kind: Paused})
	}
}

func (c *Core) addEvent(e Event) { c.out.Events = append(c.out.Events, e) }

func (c *Core) flush() Output {
	out := c.out
	c.out = Output{}
	return out
}

// send sends a message inside the zone, with updates, progress and the latest
// heartbeat.
func (c *Core) send(to string, m *Message) {
	m.Heartbeat = c.quorum.latest
	if m.Kind != Ack || len(c.ownZone().liveSorted()) <= maxAckProgress {
		m.Progress = c.progress()
	}
	m.Bridge, m.Cut = c.unreachableZones()
	c.addUpdates(m)
	c.sendRaw(to, m)
}

func (c *Core) sendRaw(to string, m *Message) {
	m.From = c.self.rec.Name
	c.out.Send = append(c.out.Send, Packet{To: to, Message: m})
}

func (c *Core) ownZone() *zone { return c.zones[c.self.rec.Zone] }

// peers returns the other live hosts of the zone.
func (c *Core) peers() []*host {
	z := c.ownZone()
	list := make([]*host, 0, len(z.liveSorted()))
	for _, h := range z.liveSorted() {
		if h != c.self {
			list = append(list, h)
		}
	}
	return list
}

// sample returns up to n of the hosts, chosen at random.
func (c *Core) sample(list []*host, n int) []*host {
	c.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
