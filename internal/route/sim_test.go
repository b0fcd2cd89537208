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

// Durations of the simulated network and its callers.
const (
	usualTableDelay = 300 * time.Millisecond // maximum delay of a new table, unless a scenario sets another
	linkDelay       = time.Millisecond       // minimum one-way delay
	firstOpenResend = time.Second            // delay of the first retransmission of an opening packet
	firstResend     = 250 * time.Millisecond // delay of the first retransmission of any other packet
	newFlowPeriod   = 3 * time.Second        // a flow sends more often for this long after it opens
	maxResendDelay  = 8 * time.Second        // maximum delay between retransmissions
	callerTimeout   = 56 * time.Second       // a caller gives up when a packet is unanswered for this long
	simIdle         = 25 * time.Second       // idle timeout of flows; exceeds the silence of a flow whose packets are lost
	meanSendPause   = 8 * time.Second        // mean pause between two packets of a flow
	simBuckets      = 256
	lossAfter       = 3 * time.Second // a host or backend server counts as lost after this silence
)

// sim runs the packet routing of entry hosts, callers and backend servers on one
// simulated clock, in a single goroutine.
type sim struct {
	rand                  *rand.Rand
	now                   time.Duration
	queue                 events
	seq                   int
	hosts                 []*simHost
	backends              []*simBackend
	byNum                 map[table.BackendNum]*simBackend
	flows                 []*simFlow
	control               *simControl
	version               string        // homes, modulo or rendezvous
	maxTableDelay         time.Duration // maximum delay of a new table
	loss                  float64       // share of packets and messages that are lost
	partitionedZone       string        // zone that is partitioned from the others, or empty
	partitionedAt         time.Duration
	fabricPartitionedZone string        // zone whose callers and entry hosts the network fabric separates from the others, or empty
	callerTimeout         time.Duration // a caller gives up when a packet is unanswered for this long
	stall                 time.Duration // flows that repeat one packet for this long are reset
	count                 counts
}

// counts holds the results of a run. An accepted flow is counted as silent if its
// caller gave up. A flow that is reset is counted as stalled if a device on its path
// had forgotten it, else as reset if its backend server was lost, else as broken.
type counts struct {
	opened, broken, silent, reset, misdelivered, splitOpenings, openedOnDraining, unserved, stalled int
	packets, relays                                                                                 int
	controlBytes                                                                                    int64
}

type simHost struct {
	table.Host
	up, leaving    bool
	lostAt         time.Duration
	table          *table.Table
	view           *route.View
	router         *route.Router
	replicator     *route.Replicator
	stallDetector  *route.StallDetector
	local          map[uint64]table.BackendNum // flow table of the naive versions
	knownRevision  uint64                      // revision of the host's table as the control host knows it
	cutOff         bool
	leaseRenewedAt time.Duration // when the lease of a cut-off host was renewed, else 0
}

type simBackend struct {
	table.Backend
	dead      bool
	drainedAt time.Duration // when it started to drain or was lost, else 0
	accepted  map[*simFlow]bool
}

type simFlow struct {
	service         int
	zone            string
	packet          flow.Packet
	server          *simBackend // backend server that accepted the flow, or nil
	awaitingAck     bool
	sentAt          time.Duration // when the unanswered packet was sent first
	openedAt        time.Duration // when the opening packet was sent first
	timerGeneration int           // a timer of an older generation does nothing
	ended           bool
	forgotten       bool // a device between backend server and caller has lost the flow's state
}

type event struct {
	at  time.Duration
	seq int
	run func()
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

func (s *sim) schedule(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, fn})
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; ; {
		if len(s.queue) == 0 || s.queue[0].at > end {
			s.now = end
			return
		}
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

var simEpoch = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time          { return simEpoch.Add(s.now) }
func (s *sim) seconds() records.Seconds { return records.Seconds(s.now / time.Second) }

func (s *sim) delay() time.Duration {
	d := linkDelay + time.Duration(s.rand.Int64N(int64(linkDelay)))
	if s.rand.IntN(100) == 0 {
		d += time.Duration(s.rand.Int64N(int64(20 * linkDelay))) // lets later packets overtake this one
	}
	return d
}

// deliverMessage sends a message between hosts. It may arrive late, out of order,
// twice or never.
func (s *sim) deliverMessage(from, to *simHost, fn func()) {
	if s.partitioned(from.Zone, to.Zone) {
		return
	}
	for range 1 + max(0, s.rand.IntN(100)-98) {
		if s.rand.Float64() >= s.loss {
			s.schedule(s.delay(), func() {
				if to.up {
					fn()
				}
			})
		}
	}
}

func (s *sim) partitioned(a, b string) bool {
	return s.partitionedZone != "" && (a == s.partitionedZone) != (b == s.partitionedZone)
}

// simServices are the services of the simulation. The field backends is the number
// of backend servers.
var simServices = []struct {
	name     string
	backends int
	address  netip.AddrPort
}{
	{"pantanir", 14, netip.MustParseAddrPort("203.0.113.10:443")},
	{"myndir", 4, netip.MustParseAddrPort("203.0.113.20:443")},
}

func newSim(seed uint64, version string, hosts, zones, flows int) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), version: version, loss: 0.01, maxTableDelay: usualTableDelay, stall: 20 * time.Second, callerTimeout: callerTimeout}
	s.control = newSimControl(s, zones)
	for i := range hosts {
		s.addHost(fmt.Sprint("host-", i), fmt.Sprint("zone-", i%zones))
	}
	for _, svc := range simServices {
		for i := range svc.backends {
			b := table.Backend{ID: fmt.Sprint(svc.name, "-", i), Service: svc.name, Zone: fmt.Sprint("zone-", i%zones), State: model.Ready}
			s.backends = append(s.backends, &simBackend{Backend: b, accepted: map[*simFlow]bool{}})
		}
	}
	s.control.step()
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
	s.start(h)
	return h
}

// sendToEntryHost delivers a caller's packet to a random entry host. A lost host
// still receives packets until the network has stopped routing to it.
func (s *sim) sendToEntryHost(f *simFlow) {
	if s.rand.Float64() < s.loss {
		return
	}
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	for h.table == nil && h.up || !h.up && s.now > h.lostAt+lossAfter/3 || s.fabricPartitionedZone != "" && (h.Zone == s.fabricPartitionedZone) != (f.zone == s.fabricPartitionedZone) {
		h = s.hosts[s.rand.IntN(len(s.hosts))]
	}
	p := f.packet
	s.schedule(s.delay(), func() {
		if !h.up || h.table == nil {
			return
		}
		s.count.packets++
		var header route.Header
		v := s.decide(h, &p, &header)
		s.applyVerdict(h, f, &p, v, header)
	})
}

func (s *sim) decide(h *simHost, p *flow.Packet, header *route.Header) route.Verdict {
	if s.isNaive() {
		return s.decideNaive(h, p)
	}
	return h.router.Route(s.seconds(), h.view, p, header)
}

func (s *sim) applyVerdict(h *simHost, f *simFlow, p *flow.Packet, v route.Verdict, header route.Header) {
	switch v.Action {
	case route.Reset:
		s.schedule(s.delay(), func() { f.receiveReset(s, nil) })
	case route.Relay:
		s.relay(h, f, p, v.To, header)
	case route.Forward:
		if v.Confirm {
			s.count.controlBytes += route.HeaderBytes
			home := s.host(header.Home)
			s.deliverMessage(h, home, func() { home.router.Confirmed(s.seconds(), header) })
		}
		if !s.isNaive() && h.stallDetector.Observe(s.time(), s.stall, v.Flow, p) {
			s.schedule(s.delay(), func() { f.receiveReset(s, nil) })
			return
		}
		b := s.byNum[v.Backend]
		if !s.partitioned(h.Zone, b.Zone) && s.rand.Float64() >= s.loss {
			s.schedule(s.delay(), func() { b.receive(s, f, p) })
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
	s.deliverMessage(h, to, func() {
		if to.view != nil {
			header := header
			v := to.router.Relayed(s.seconds(), to.view, p, &header)
			s.applyVerdict(to, f, p, v, header)
		}
	})
}
