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
// five times the bound of all of them.
const (
	coldHosts, coldJoining, coldCutOff = 27, 3, 18
	coldBackends, coldControls         = 30, 3
	coldWarmup, coldStep               = 2 * time.Second, 4 * time.Millisecond
	coldPerSecond                      = 5 // bound with a rate of 0
	coldFlowsPerStep                   = 5 * coldPerSecond * coldBackends * int(coldStep) / int(time.Second)
	coldDelay                          = 4 // mean number of steps until a change is delivered
)

var coldBound = warmup.Bound{Overage: 1.5, Slack: coldPerSecond}

func coldDocument() *document.Document {
	d := testDocument(1)
	d.ServiceSettings = []document.ServiceSettings{{Name: "orders", Warmup: uint32(coldWarmup.Milliseconds())}}
	return d
}

type coldHost struct {
	steerer           *Steerer
	catalog           *catalog.Catalog
	joinsAt, cutOffAt time.Duration
	following         int // control host
	cursor            uint64
}

// connected holds the addresses of the entry hosts that follow a control host.
type connected []string

func (c connected) All() (list []warmup.Host) {
	for _, addr := range c {
		list = append(list, warmup.Host{Addr: addr, Zone: "a"})
	}
	return list
}

func (c connected) AnyConnected(addrs []string) bool {
	return slices.ContainsFunc(addrs, func(addr string) bool { return slices.Contains(c, addr) })
}

// simulateColdZone returns when flows were opened to each backend server while it was
// cold, and for which ones also after that.
func simulateColdZone(seed uint64) (opened [coldBackends][]time.Duration, used [coldBackends]bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	within := func(limit time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(limit))).Truncate(coldStep)
	}
	controls, hosts, born := [coldControls]*catalog.Catalog{}, [coldHosts]*coldHost{}, [coldBackends]time.Duration{}
	lostAt := within(coldWarmup) // loss of control host 0
	newCatalog := func(self string) *catalog.Catalog {
		return catalog.New(catalog.Config{Self: self, Interval: time.Second, ColdBound: true})
	}
	for n := range controls {
		controls[n] = newCatalog(fmt.Sprint(n))
	}
	for i, n := range rng.Perm(coldHosts) {
		h := &coldHost{steerer: New(Config{Zone: "a", Host: fmt.Sprint(n), ColdBound: coldBound}), catalog: newCatalog(""), following: n % coldControls, cutOffAt: time.Hour}
		h.steerer.SetTable(0, Build(coldDocument(), nil))
		if i < coldJoining {
			h.joinsAt = within(coldWarmup)
		} else if i < coldJoining+coldCutOff {
			h.cutOffAt = 100*time.Millisecond + within(time.Second)
		}
		hosts[n] = h
	}
	for n := range born {
		born[n] = within(100 * time.Millisecond)
	}
	for now := time.Duration(0); now < 2*coldWarmup; now += coldStep {
		var following connected
		for n, h := range hosts {
			if h.following == 0 && now > lostAt+200*time.Millisecond {
				h.following, h.cursor = 1, 0
			}
			if h.joinsAt <= now && now < h.cutOffAt && (h.following != 0 || now < lostAt) {
				following = append(following, fmt.Sprint(n))
			}
		}
		for n, start := range born {
			if age := now - start; age >= 0 && age%time.Second == 0 {
				owner := n % coldControls
				if owner == 0 && now >= lostAt {
					owner = 1
				}
				controls[owner].ReceiveHeartbeat(now, catalog.Heartbeat{
					ID: fmt.Sprintf("x%d", n), Service: "orders", Zone: "a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80),
					WarmLeft: max(0, coldWarmup-age), Born: 1, Sequence: uint64(1 + age/time.Second),
				})
			}
		}
		for n, control := range controls {
			if n == 0 && now >= lostAt {
				continue
			}
			control.Tick(now)
			for _, id := range control.ColdOwned(now) {
				control.Admit(now, id, catalog.ColdService{PerSecond: coldPerSecond, Warmup: coldWarmup}, following)
			}
			for _, other := range controls {
				if rng.IntN(coldDelay) == 0 {
					other.Merge(now, fmt.Sprint(n), control.Since(0, ""))
				}
			}
		}
		for n, h := range hosts {
			if slices.Contains(following, fmt.Sprint(n)) && rng.IntN(coldDelay) == 0 {
				h.catalog.Merge(now, "", controls[h.following].SteeringSince(h.cursor))
				h.cursor = controls[h.following].SteeringRevision()
				known := h.catalog.Since(0, "")
				slices.SortFunc(known, func(a, b catalog.Record) int { return strings.Compare(a.ID, b.ID) })
				h.steerer.SetTable(now, h.steerer.Table().WithServers(known))
			}
		}
		for range coldFlowsPerStep {
			d := hosts[rng.IntN(coldHosts)].steerer.Decide(now, syn(rng.IntN(60_000), orders, 0))
			if d.Server == nil {
				continue
			}
			if n := d.Server.Address.Addr().As4()[3]; now < born[n]+coldWarmup {
				opened[n] = append(opened[n], now)
			} else {
				used[n] = true
			}
		}
	}
	return opened, used
}

// Guards against a zone that returns and is overloaded while it is cold, or unused then
// or later, with hosts that are cut off, join, and lose their control host.
func TestZoneReturnsCold(t *testing.T) {
	for seed := range uint64(*coldSeeds) {
		opened, used := simulateColdZone(seed)
		most, total := 0, 0
		for _, times := range opened {
			for i, until := range times {
				first := slices.IndexFunc(times, func(t time.Duration) bool { return until-t <= time.Second })
				most = max(most, i-first+1)
			}
			total += len(times)
		}
		qt.Check(t, most <= coldPerSecond, qt.IsTrue, qt.Commentf("seed %d: %d openings in a second", seed, most))
		qt.Check(t, total > coldBackends, qt.IsTrue, qt.Commentf("seed %d: %d openings while cold", seed, total))
		qt.Check(t, slices.Contains(used[:], false), qt.IsFalse, qt.Commentf("seed %d: unused once warm", seed))
	}
}

// Guards against flows to a backend server of an evacuated zone that returns before its
// heartbeats say that it is cold, and against refusals without a reason.
func TestColdAfterAnEvacuation(t *testing.T) {
	admitted := backend("x1", "orders", "a", catalog.Ready)
	admitted.Admission = &warmup.Admission{Hosts: []string{"h"}, Each: 1}
	s := New(Config{Zone: "a", Host: "h", ColdBound: coldBound})
	s.SetTable(0, Build(coldDocument(), []catalog.Record{admitted, backend("x2", "orders", "a", catalog.Ready)}))
	s.cold.startZoneWarmup("a", time.Second)
	for at, want := range []string{"forward placed x1", "refuse cold", "forward placed x2"} {
		qt.Assert(t, describe(s.Decide(time.Duration(1+at)*time.Second, syn(at, orders, 0))), qt.Equals, want)
	}
}

// newColdSteerer returns the steerer of host "h", which knows one backend server. That one is
// cold from the first second on, and takes a flow a second from the admitted host.
func newColdSteerer(admitted string) *Steerer {
	s := New(Config{Zone: "a", Host: "h", ColdBound: coldBound})
	cold := backend("x1", "orders", "a", catalog.Ready)
	cold.Admission = &warmup.Admission{Hosts: []string{admitted}, Each: 1}
	s.SetTable(0, Build(coldDocument(), []catalog.Record{cold}))
	s.cold.startZoneWarmup("a", time.Second)
	return s
}

// TestCopyOfAnUnseenOpeningIsNotRefused guards against a reset of a flow that another entry
// host has placed: its caller sent a copy before the answer arrived.
func TestCopyOfAnUnseenOpeningIsNotRefused(t *testing.T) {
	s := newColdSteerer("other")
	held := syn(3, orders, 1)
	held.SeenFirst = true
	for _, x := range []struct {
		p    Packet
		want string
	}{
		{syn(1, orders, 0), "refuse cold"}, {syn(2, orders, 1), "drop cold"}, {syn(2, orders, 2), "drop cold"}, {held, "refuse cold"},
	} {
		qt.Assert(t, describe(s.Decide(time.Second, x.p)), qt.Equals, x.want)
	}
}

// Guards against a reset of a flow that another entry host has placed, while the original
// of its opening packet waited at this host, which was paused or could not place flows yet.
func TestDelayedOpeningIsNotRefused(t *testing.T) {
	c := qt.New(t)
	s := newColdSteerer("other")
	now := time.Second
	c.Assert(describe(s.DecideHeld(now, 0, syn(1, orders, 0))), qt.Equals, "refuse cold")
	c.Assert(describe(s.DecideHeld(now, MaxFresh, syn(1, orders, 0))), qt.Equals, "drop cold")
	seen := syn(1, orders, 1)
	seen.SeenFirst = true
	c.Assert(describe(s.DecideHeld(now, MaxFresh, seen)), qt.Equals, "drop cold")
	delayed := syn(2, orders, 0)
	delayed.Delayed = true
	c.Assert(describe(s.Decide(now, delayed)), qt.Equals, "drop cold")
	delayed.Route = callerAddress(9)
	c.Assert(describe(s.Decide(now, delayed)), qt.Equals, "drop no_route")
}

// Guards against suspicions of backend servers that had no time to answer, because both
// copies of the opening packet waited at a paused host.
func TestCopyRightAfterADelayedPacketGoesToTheSameServer(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready))
	original, repeated := syn(1, orders, 0), syn(1, orders, 1)
	original.Delayed, repeated.Delayed = true, true
	first := s.Decide(time.Second, original)
	second := s.Decide(time.Second+time.Millisecond, repeated)
	c.Assert(describe(second), qt.Equals, "forward placed_again "+first.Server.ID)
	c.Assert(s.suspects.byID, qt.HasLen, 0)
}

// Guards against a reset of a flow that a cold backend server is about to accept: the flow
// used up the share of this host, and its caller repeated the opening packet.
func TestCopyOfAColdPlacementIsNotRefused(t *testing.T) {
	c := qt.New(t)
	s := newColdSteerer("h")
	now := time.Second
	c.Assert(describe(s.Decide(now, syn(1, orders, 0))), qt.Equals, "forward placed x1")
	c.Assert(describe(s.Decide(now, syn(2, orders, 0))), qt.Equals, "refuse cold")
	c.Assert(describe(s.Decide(now+200*time.Millisecond, syn(1, orders, 1))), qt.Equals, "forward placed_again x1")
	c.Assert(describe(s.Decide(now+600*time.Millisecond, syn(1, orders, 2))), qt.Equals, "forward placed_again x1")
	c.Assert(describe(s.Decide(now+1200*time.Millisecond, syn(3, orders, 0))), qt.Equals, "refuse cold")
}

// Guards against a reset of a flow that a backend server may have accepted before it was
// excluded from new flows.
func TestCopyOfAPlacedFlowIsRefusedOnlyIfItsServerIsGone(t *testing.T) {
	draining, gone, later := backend("x1", "orders", "a", catalog.Draining), backend("x1", "orders", "a", catalog.Gone), backend("x1", "orders", "a", catalog.Draining)
	later.Born++
	for _, test := range []struct {
		name     string
		change   func(s *Steerer)
		decision string
	}{
		{"draining", func(s *Steerer) { s.SetTable(0, Build(coldDocument(), []catalog.Record{draining})) }, "drop no_server"},
		{"gone", func(s *Steerer) { s.SetTable(0, Build(coldDocument(), []catalog.Record{gone})) }, "refuse no_server"},
		{"started again", func(s *Steerer) { s.SetTable(0, Build(coldDocument(), []catalog.Record{later})) }, "refuse no_server"},
		{"zone evacuated", func(s *Steerer) { s.SetEvacuations(time.Second, ordersFrom(1, "+a"), nil) }, "drop evacuated"},
		{"other hosts admitted", func(s *Steerer) { s.cold.startZoneWarmup("a", time.Second) }, "drop cold"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := New(Config{Zone: "a", Host: "h", ColdBound: coldBound})
			s.SetTable(0, Build(coldDocument(), []catalog.Record{backend("x1", "orders", "a", catalog.Ready)}))
			c.Assert(describe(s.Decide(time.Second, syn(1, orders, 0))), qt.Equals, "forward placed x1")
			test.change(s)
			c.Assert(describe(s.Decide(1200*time.Millisecond, syn(1, orders, 1))), qt.Equals, test.decision)
		})
	}
}
