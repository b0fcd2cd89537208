package steering

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/warmup"
)

var coldSeeds = flag.Int("seeds", 5, "seeds of each simulation of cold backend servers")

// The simulated zone: its backend servers start together, and its callers open flows at
// five times the bound of all of them. Most hosts are cut off meanwhile, three join, and
// control host 0 is lost.
const (
	coldHosts, coldJoining, coldCutOff = 27, 3, 18
	coldBackends, coldControls         = 30, 3
	coldWarmup, coldStep               = 2 * time.Second, 4 * time.Millisecond
	coldDelaySteps                     = 4
	coldPerSecond                      = 5 // bound with a rate of 0
	coldFlowRate                       = 5 * coldPerSecond * coldBackends
)

var (
	coldBound   = warmup.Bound{Overage: 1.5, Slack: coldPerSecond}
	coldService = catalog.ColdService{PerSecond: coldPerSecond, Warmup: coldWarmup}
)

// coldSim holds the control hosts, entry hosts and backend servers. Each link between
// two of them delivers what has changed in a step with probability 1/coldDelaySteps.
type coldSim struct {
	now      time.Duration
	rng      *rand.Rand
	controls [coldControls]*catalog.Catalog
	lostAt   time.Duration // when control host 0 is lost
	hosts    [coldHosts]coldHost
	bornAt   [coldBackends]time.Duration
	opened   [coldBackends][]time.Duration // openings while it was cold
	used     [coldBackends]bool            // whether it got a flow after that
}

type coldHost struct {
	steerer           *Steerer
	catalog           *catalog.Catalog
	joinsAt, cutOffAt time.Duration
	following         int // control host
	cursor            uint64
}

func hostAddr(n int) string { return fmt.Sprintf("10.0.0.%d:7000", n) }

func (s *coldSim) isConnected(h *coldHost) bool {
	return h.joinsAt <= s.now && s.now < h.cutOffAt && (h.following != 0 || s.now < s.lostAt)
}

// All and AnyConnected implement catalog.EntryHosts.
func (s *coldSim) All() (list []warmup.Host) {
	for n := range s.hosts {
		if s.isConnected(&s.hosts[n]) {
			list = append(list, warmup.Host{Addr: hostAddr(n), Zone: "a"})
		}
	}
	return list
}

func (s *coldSim) AnyConnected(addrs []string) bool {
	return slices.ContainsFunc(s.All(), func(h warmup.Host) bool { return slices.Contains(addrs, h.Addr) })
}

func newColdSim(seed uint64) *coldSim {
	s := &coldSim{rng: rand.New(rand.NewPCG(seed, 1))}
	within := func(limit time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(limit))) }
	s.lostAt = within(coldWarmup)
	for n := range s.controls {
		s.controls[n] = catalog.New(catalog.Config{Self: fmt.Sprint(n), Interval: time.Second, ColdBound: true})
	}
	d := testDocument(1)
	d.ServiceSettings = []document.ServiceSettings{{Name: "orders", Warmup: uint32(coldWarmup.Milliseconds())}}
	for i, n := range s.rng.Perm(coldHosts) {
		h := &s.hosts[n]
		*h = coldHost{
			steerer:   New(Config{Zone: "a", Host: hostAddr(n), ColdBound: coldBound}),
			catalog:   catalog.New(catalog.Config{Interval: time.Second, ColdBound: true}),
			following: n % coldControls, cutOffAt: time.Hour,
		}
		h.steerer.SetTable(0, Build(d, nil))
		if i < coldJoining {
			h.joinsAt = within(coldWarmup)
		} else if i < coldJoining+coldCutOff {
			h.cutOffAt = 100*time.Millisecond + within(time.Second)
		}
	}
	for n := range s.bornAt {
		s.bornAt[n] = within(100 * time.Millisecond).Truncate(coldStep)
	}
	return s
}

// step passes on what has changed and opens the flows of one step.
func (s *coldSim) step() {
	delivers := func() bool { return s.rng.IntN(coldDelaySteps) == 0 }
	for n, born := range s.bornAt {
		if age := s.now - born; age >= 0 && age%time.Second == 0 {
			s.heartbeat(n, age)
		}
	}
	for n, control := range s.controls {
		if n == 0 && s.now >= s.lostAt {
			continue
		}
		control.Tick(s.now)
		for _, id := range control.ColdOwned(s.now) {
			control.Admit(s.now, id, coldService, s)
		}
		for _, other := range s.controls {
			if delivers() {
				other.Merge(s.now, fmt.Sprint(n), control.Since(0, ""))
			}
		}
	}
	for n := range s.hosts {
		h := &s.hosts[n]
		if h.following == 0 && s.now > s.lostAt+200*time.Millisecond {
			h.following, h.cursor = 1, 0
		}
		if s.isConnected(h) && delivers() {
			h.catalog.Merge(s.now, "", s.controls[h.following].SteeringSince(h.cursor))
			h.cursor = s.controls[h.following].SteeringRevision()
			known := h.catalog.Since(0, "")
			slices.SortFunc(known, func(a, b catalog.Record) int { return strings.Compare(a.ID, b.ID) })
			h.steerer.SetTable(s.now, h.steerer.Table().WithServers(known))
		}
	}
	for range coldFlowRate * int(coldStep) / int(time.Second) {
		s.open(s.hosts[s.rng.IntN(coldHosts)].steerer)
	}
	s.now += coldStep
}

func (s *coldSim) heartbeat(n int, age time.Duration) {
	to := n % coldControls
	if to == 0 && s.now >= s.lostAt {
		to = 1
	}
	id := fmt.Sprintf("x%d", n)
	s.controls[to].ReceiveHeartbeat(s.now, catalog.Heartbeat{
		ID: id, Service: "orders", Zone: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80),
		WarmLeft: max(0, coldWarmup-age), Born: 1, Sequence: uint64(1 + age/time.Second),
	})
	s.controls[to].Admit(s.now, id, coldService, s)
}

func (s *coldSim) open(h *Steerer) {
	d := h.Decide(s.now, syn(s.rng.IntN(60_000), orders, 0))
	if d.Server == nil {
		return
	}
	n := int(d.Server.Address.Addr().As4()[3])
	if s.now >= s.bornAt[n]+coldWarmup {
		s.used[n] = true
		return
	}
	s.opened[n] = append(s.opened[n], s.now)
}

// Guards against a zone that returns and is overloaded while it is cold, or unused then
// or later, with hosts that are cut off, join, and lose their control host.
func TestZoneReturnsCold(t *testing.T) {
	for seed := range uint64(*coldSeeds) {
		s := newColdSim(seed)
		for s.now < 2*coldWarmup {
			s.step()
		}
		most, total := 0, 0
		for _, times := range s.opened {
			for i, until := range times {
				first := slices.IndexFunc(times, func(t time.Duration) bool { return until-t <= time.Second })
				most = max(most, i-first+1)
			}
			total += len(times)
		}
		qt.Check(t, most <= coldPerSecond, qt.IsTrue, qt.Commentf("seed %d: %d openings in a second", seed, most))
		qt.Check(t, total > coldBackends, qt.IsTrue, qt.Commentf("seed %d: %d openings while cold", seed, total))
		qt.Check(t, slices.Contains(s.used[:], false), qt.IsFalse, qt.Commentf("seed %d: unused once warm", seed))
	}
}

// Guards against flows to a backend server of an evacuated zone that returns before its
// heartbeats say that it is cold, and against refusals without a reason.
func TestColdAfterAnEvacuation(t *testing.T) {
	d := testDocument(1)
	d.ServiceSettings = []document.ServiceSettings{{Name: "orders", Warmup: 2000}}
	admitted, other := backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)
	admitted.Admission = &warmup.Admission{Hosts: []string{hostAddr(1)}, Each: 1}
	s := New(Config{Zone: "a", Host: hostAddr(1), ColdBound: coldBound})
	s.SetTable(0, Build(d, []catalog.Record{admitted, other}))
	s.SetWarmupAfter(time.Second, "a")
	for at, want := range []string{1: "forward placed x1", 2: "refuse cold", 3: "forward placed x2"} {
		if want != "" {
			qt.Assert(t, describe(s.Decide(time.Duration(at)*time.Second, syn(at, orders, 0))), qt.Equals, want)
		}
	}
}
