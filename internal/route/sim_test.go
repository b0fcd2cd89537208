package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"greengagequay/internal/flow"
	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// Times of the simulated network and of its callers.
const (
	usualLate   = 300 * time.Millisecond // a table arrives up to this late
	hop         = time.Millisecond       // one way
	openResend  = time.Second            // first resend of an opening packet
	firstResend = 250 * time.Millisecond // of any other
	lively      = 3 * time.Second        // a new flow sends more often for this long
	lastResend  = 8 * time.Second        // the pause grows to this
	patience    = 56 * time.Second       // a caller gives up after this time
	simIdle     = 25 * time.Second       // longer than a flow with lost packets is silent
	talkEvery   = 8 * time.Second        // between two packets of a flow
	simBuckets  = 256
	lossAfter   = 3 * time.Second // silence after which a host or backend server counts as lost
)

// sim drives cores of entry hosts, callers and backend servers on one fake
// clock. Nothing in it runs at the same time as anything else.
type sim struct {
	rand     *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	hosts    []*simHost
	backends []*simBackend
	byNum    map[table.BackendNum]*simBackend
	flows    []*simFlow
	ctl      *simControl
	version  string        // homes, modulo or rendezvous
	late     time.Duration // tables arrive up to this late
	loss     float64       // share of packets and messages that are lost
	cut      string        // zone that is cut off
	cutAt    time.Duration
	fabric   string        // zone that the fabric keeps apart
	patience time.Duration // a caller gives up after this time
	stall    time.Duration // flows that repeat themselves this long are reset
	count    counts
}

// counts is what a run reports.
type counts struct {
	opened, broken, silent, reset, misdelivered, doubled, lateNew, unserved, stalled int
	packets, relays                                                                  int
	controlBytes                                                                     int64
}

type simHost struct {
	table.Host
	up, leaving bool
	lostAt      time.Duration
	table       *table.Table
	view        *route.View
	router      *route.Router
	keeper      *route.Keeper
	stalls      *route.Stalls
	local       map[uint64]table.BackendNum // of the naive versions
	seen        uint64                      // revision that the controller knows of
	isCut       bool
	heardAt     time.Duration // when a cut-off host had its lease back, else 0
}

type simBackend struct {
	table.Backend
	dead     bool
	drained  time.Duration // when it announced that it drains, 0 if it does not
	accepted map[*simFlow]bool
}

type simFlow struct {
	service int
	zone    string
	packet  flow.Packet
	at      *simBackend // backend server that the caller talks to
	waiting bool
	saidAt  time.Duration // when the packet that waits was sent first
	dialed  time.Duration // when the first packet was sent
	gen     int           // invalidates timers
	ended   bool
	muted   bool // something between backend server and caller forgot the flow
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

var simEpoch = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time          { return simEpoch.Add(s.now) }
func (s *sim) seconds() records.Seconds { return records.Seconds(s.now / time.Second) }

func (s *sim) delay() time.Duration {
	d := hop + time.Duration(s.rand.Int64N(int64(hop)))
	if s.rand.IntN(100) == 0 {
		d += time.Duration(s.rand.Int64N(int64(20 * hop))) // overtaken by others
	}
	return d
}

// message carries something between hosts: late, out of order, not at all, or
// twice.
func (s *sim) message(from, to *simHost, do func()) {
	if s.apart(from.Zone, to.Zone) {
		return
	}
	for range 1 + max(0, s.rand.IntN(100)-98) {
		if s.rand.Float64() >= s.loss {
			s.after(s.delay(), func() {
				if to.up {
					do()
				}
			})
		}
	}
}

func (s *sim) apart(a, b string) bool { return s.cut != "" && (a == s.cut) != (b == s.cut) }

// simServices are the services: number of backend servers and address.
var simServices = []struct {
	name     string
	backends int
	address  netip.AddrPort
}{
	{"pantanir", 14, netip.MustParseAddrPort("203.0.113.10:443")},
	{"myndir", 4, netip.MustParseAddrPort("203.0.113.20:443")},
}

func newSim(seed uint64, version string, hosts, zones, flows int) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), version: version, loss: 0.01, late: usualLate, stall: 20 * time.Second, patience: patience}
	s.ctl = newSimControl(s, zones)
	for i := range hosts {
		s.addHost(fmt.Sprint("host-", i), fmt.Sprint("zone-", i%zones))
	}
	for _, svc := range simServices {
		for i := range svc.backends {
			b := table.Backend{ID: fmt.Sprint(svc.name, "-", i), Service: svc.name, Zone: fmt.Sprint("zone-", i%zones), State: model.Ready}
			s.backends = append(s.backends, &simBackend{Backend: b, accepted: map[*simFlow]bool{}})
		}
	}
	s.ctl.tick()
	s.run(20 * time.Second)
	s.open(flows, zones)
	s.run(10 * time.Second)
	s.churn()
	return s
}

func (s *sim) isNaive() bool { return s.version != "homes" }

func (s *sim) addHost(name, zone string) *simHost {
	h := &simHost{Host: table.Host{Name: name, Zone: zone}}
	s.hosts = append(s.hosts, h)
	s.boot(h)
	return h
}

// fabricPacket brings a caller's packet to some entry host.
func (s *sim) fabricPacket(f *simFlow) {
	if s.rand.Float64() < s.loss {
		return
	}
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	for h.table == nil && h.up || !h.up && s.now > h.lostAt+lossAfter/3 || s.fabric != "" && (h.Zone == s.fabric) != (f.zone == s.fabric) {
		h = s.hosts[s.rand.IntN(len(s.hosts))]
	}
	p := f.packet
	s.after(s.delay(), func() {
		if !h.up || h.table == nil {
			return
		}
		s.count.packets++
		var header route.Header
		v := s.decide(h, &p, &header)
		s.act(h, f, &p, v, header)
	})
}

func (s *sim) decide(h *simHost, p *flow.Packet, header *route.Header) route.Verdict {
	if s.isNaive() {
		return s.decideNaive(h, p)
	}
	return h.router.Route(s.seconds(), h.view, p, header)
}

func (s *sim) act(h *simHost, f *simFlow, p *flow.Packet, v route.Verdict, header route.Header) {
	switch v.Action {
	case route.Reset:
		s.after(s.delay(), func() { f.resetBy(s, nil) })
	case route.Relay:
		s.relay(h, f, p, v.To, header)
	case route.Forward:
		if v.Confirm {
			s.count.controlBytes += route.HeaderBytes
			home := s.host(header.Home)
			s.message(h, home, func() { home.router.Confirmed(s.seconds(), header) })
		}
		if !s.isNaive() && h.stalls.Seen(s.time(), s.stall, v.Flow, p) {
			s.after(s.delay(), func() { f.resetBy(s, nil) })
			return
		}
		b := s.byNum[v.Backend]
		if !s.apart(h.Zone, b.Zone) && s.rand.Float64() >= s.loss {
			s.after(s.delay(), func() { b.take(s, f, p) })
		}
	}
}

func (s *sim) relay(h *simHost, f *simFlow, p *flow.Packet, n table.HostNum, header route.Header) {
	if header.Stage == route.ToHome {
		s.count.relays++
	} else {
		s.count.controlBytes += route.HeaderBytes
	}
	header, _, err := route.ParseHeader(header.Append(nil))
	if err != nil {
		panic(err)
	}
	to := s.host(n)
	s.message(h, to, func() {
		if to.view != nil {
			header := header
			v := to.router.Relayed(s.seconds(), to.view, p, &header)
			s.act(to, f, p, v, header)
		}
	})
}
