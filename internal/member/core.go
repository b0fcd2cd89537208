package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/model"
)

// Options of a core.
type Options struct {
	Self  model.Host
	Seeds []string   // gossip addresses to join through
	Rand  *rand.Rand // chooses whom to probe and to tell
}

// Core is the state of one host's view. It is not safe for concurrent use.
type Core struct {
	self     *host
	seeds    []string
	rand     *rand.Rand
	hosts    map[string]*host
	items    map[string]*item
	zones    map[string]*zone
	last     time.Time     // of the last step
	at       time.Duration // time that this host ran; pauses count maxStep at most
	elapsed  time.Duration // time that passed, pauses included
	probes   map[uint64]*probe
	relays   map[uint64]relay
	order    []string // hosts of the zone that are still to be probed in this round
	seq      uint64
	health   int // 0 is well; rises while this host's probes fail
	budgets  budgets
	rumors   rumors
	eager    []string // records of this zone that other zones are told at once
	next     schedule
	beacon   beaconState
	stopped  bool // this host has left
	out      Output
	suspects map[string]*host
}

// schedule holds the times of the next periodic actions.
type schedule struct {
	probe, sync, bridge, revive, report, sweep time.Duration
	zone                                       int // next zone that a bridge contacts
}

// host is a known host.
type host struct {
	rec       HostRecord
	hash      uint32
	since     time.Duration // of the state
	suspected time.Duration // when the suspicion was first heard
	revision  uint64
	ack       uint64        // beacon seen, by the gossip of its zone
	granted   uint64        // beacon seen, as the leading control host knows
	leased    time.Duration // when granted last rose
}

type item struct {
	Item
	hash  uint32
	since time.Duration
}

// New returns the core of a host that knows itself and its seeds.
func New(o Options) *Core {
	c := &Core{
		seeds: o.Seeds, rand: o.Rand,
		hosts: map[string]*host{}, items: map[string]*item{}, zones: map[string]*zone{},
		seq:    uint64(o.Rand.Uint32()), // answers to an earlier process must not count
		probes: map[uint64]*probe{}, relays: map[uint64]relay{}, suspects: map[string]*host{},
	}
	c.rumors.left = map[string]int{}
	c.budgets = budgets{news: newBudget(newsBurst), sync: newBudget(syncBurst), bridge: newBudget(syncBurst)}
	c.self = &host{rec: recordOf(o.Self), hash: hashOf(o.Self.Name), revision: o.Self.Revision}
	c.hosts[o.Self.Name] = c.self
	c.zoneOf(o.Self.Zone).addHost(c.self)
	c.rumors.add(o.Self.Name, c.fanOut())
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

// Hosts returns the known hosts in the order of their names. The hosts of a
// zone that is cut off count as dead.
func (c *Core) Hosts() []model.Host {
	list := make([]model.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		m := h.model()
		if h.rec.live() && c.zones[h.rec.Zone].cut {
			m.State = model.Dead
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b model.Host) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Self returns this host as the others see it.
func (c *Core) Self() model.Host { return c.self.model() }

// SetLeaving tells the others that this host hands its work over.
func (c *Core) SetLeaving() {
	r := c.self.rec
	if r.Roles&roleLeaving == 0 {
		r.Roles |= roleLeaving
		r.Version++
		c.putHost(r)
	}
}

// SetRevision notes the revision that this host has put in force.
func (c *Core) SetRevision(r uint64) { c.self.revision = max(c.self.revision, r) }

// Tick does what the time calls for.
func (c *Core) Tick(now time.Time) Output {
	c.advance(now)
	if !c.stopped {
		c.expireProbes()
		c.expireSuspicions()
		c.probeNext()
		c.tellZones()
		c.syncNext()
		c.reviveNext()
		c.lead()
		c.reportNext()
		c.sweep()
	}
	return c.flush()
}

// Step takes a message that arrived from the given gossip address.
func (c *Core) Step(now time.Time, from string, m *Message) Output {
	c.advance(now)
	if c.stopped || m.From == c.self.rec.Name {
		return c.flush()
	}
	c.mergeAll(from, m)
	c.heardFrom(m)
	c.takeBeacon(m.Beacon)
	c.takeProgress(m)
	switch m.Kind {
	case Ping:
		c.send(from, &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		c.acked(m.Seq)
	case PingReq:
		c.probeFor(from, m)
	case Digest:
		c.compareZones(from, m)
	case Parts:
		c.compareSlices(from, m)
	case Versions:
		c.compareVersions(from, m)
	case Want:
		c.sendWanted(from, m)
	case Report:
		c.takeReport(from, m)
	case Direct:
		c.event(Event{Kind: Received, From: m.From, Data: m.Data})
	}
	return c.flush()
}

// SendTo sends data of another package to a host, at most once.
func (c *Core) SendTo(name string, data []byte) Output {
	if h := c.hosts[name]; h != nil {
		c.sendRaw(h.rec.Gossip, &Message{Kind: Direct, Data: data})
	}
	return c.flush()
}

// Leave tells the zone that this host shuts down. The core is silent after.
func (c *Core) Leave(now time.Time) Output {
	c.advance(now)
	r := c.self.rec
	r.State = rankLeft
	c.putHost(r)
	told := c.sample(c.peers(), 4*indirect)
	for _, z := range c.otherZones() {
		told = append(told, z.bridgeHosts()...)
	}
	for _, h := range told {
		c.sendRaw(h.rec.Gossip, &Message{Kind: News, Hosts: []HostRecord{r}})
	}
	c.stopped = true
	return c.flush()
}

// advance moves the clocks. A pause of this host, or a jump of its clock, must
// not make it take others for dead: probes that were under way are forgotten.
func (c *Core) advance(now time.Time) {
	if c.last.IsZero() {
		c.last = now
	}
	passed := max(0, now.Sub(c.last))
	c.last = now
	c.elapsed += passed
	c.at += min(passed, maxStep)
	c.budgets.refill(min(passed, maxStep))
	if passed > maxStep {
		clear(c.probes)
		clear(c.relays)
		for _, h := range c.suspects {
			h.suspected = c.at
		}
		c.event(Event{Kind: Paused})
	}
}

func (c *Core) event(e Event) { c.out.Events = append(c.out.Events, e) }

func (c *Core) flush() Output {
	out := c.out
	c.out = Output{}
	return out
}

// send adds news, progress and the beacon to a message inside the zone.
func (c *Core) send(to string, m *Message) {
	m.Beacon = c.beacon.newest
	if m.Kind != Ack || len(c.ownZone().list()) <= smallZone {
		m.Progress = c.progress()
	}
	m.Bridge, m.Cut = c.cutZones()
	c.addRumors(m)
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
	list := make([]*host, 0, len(z.list()))
	for _, h := range z.list() {
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
