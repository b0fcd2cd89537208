package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/admission"
	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/pace"
	"greengagequay/internal/spread"
	"greengagequay/internal/steering"
	"greengagequay/internal/warmup"
)

var planRoute = netip.MustParseAddrPort("10.1.0.1:80")

// planHost is the part of a control host that plans, on a fake clock. Its backend servers
// have 60 slots in each of the zones a and b.
type planHost struct {
	zonePlanner
	pool     *pace.Pool
	document *document.Document
}

func newPlanHost() *planHost {
	h := &planHost{zonePlanner: newZonePlanner(), pool: pace.NewPool()}
	h.document = &document.Document{Version: 1, Routes: []document.Route{{Address: planRoute, Aim: 50, Priority: 1}}}
	for n := range 12 {
		id := fmt.Sprint("x", n)
		h.pool.UpdateServers(0, []pace.Server{{Token: uint32(steering.TokenOf(id)), ID: id, Service: "s", Zone: []string{"a", "b"}[n%2], Slots: 10}})
	}
	return h
}

// answers returns a report of 500 ms with so many requests in progress in the mean, each
// answered after 100 ms. Up to 32 of the answers are in the samples.
func answers(busy int) feed.Report {
	var r feed.Report
	for n := range 5 * busy {
		if n < maxSamples {
			r.Samples = append(r.Samples, pace.Sample{Token: uint32(steering.TokenOf(fmt.Sprint("x", n%12))), Route: routeHash(planRoute), LatencyMs: 100, Bytes: 900})
		} else {
			r.Unsampled++
		}
	}
	return r
}

func (h *planHost) report(zone string, r feed.Report) { h.addReport(zone, r, h.pool, h.document) }

func (h *planHost) rooms() []spread.Room {
	return roomsOf(h.pool, func(pace.Server) bool { return true })
}

// away returns the part of the new flows of zone a that leaves it.
func (h *planHost) away() float64 {
	sum := 0.0
	for _, s := range h.plan {
		if s.From == "a" {
			sum += s.Share
		}
	}
	return sum
}

// play lets two control hosts plan for a time. report is called before each tick.
func play(from, length time.Duration, hosts [2]*planHost, exchange bool, report func()) (end time.Duration) {
	for end = from; end < from+length; {
		end += pace.TickInterval
		report()
		for n, h := range hosts {
			h.tick(end, fmt.Sprint("c", n), h.rooms())
		}
		for n, h := range hosts {
			if exchange {
				hosts[1-n].planner.Receive(end, fmt.Sprint("c", n), h.demands)
			}
		}
	}
	return end
}

// Guards against control hosts that plan with the demand of their own followers only
// while they can exchange it, against demand of a lost control host that stays, and
// against plans and refusals that remain when reports stop.
func TestPlanOfTwoControlHosts(t *testing.T) {
	c := qt.New(t)
	hosts := [2]*planHost{newPlanHost(), newPlanHost()}
	half := func() { // zone a has 60 requests in progress, its limit is 42
		for _, h := range hosts {
			h.report("a", answers(30))
		}
	}
	now := play(0, 10*time.Second, hosts, true, half)
	for _, h := range hosts {
		c.Check(h.away() > 0.25 && h.away() < 0.35, qt.IsTrue, qt.Commentf("exchange: %v", h.plan))
		c.Check(h.refusals, qt.HasLen, 0)
	}
	now = play(now, 10*time.Second, hosts, false, half)
	for _, h := range hosts { // each sees 30 of 60
		c.Check(h.plan, qt.HasLen, 0, qt.Commentf("exchange lost"))
	}
	now = play(now, 10*time.Second, hosts, true, func() {
		hosts[0].report("a", answers(100))
		hosts[1].report("b", answers(100))
	})
	for _, h := range hosts {
		c.Check(len(h.refusals), qt.Equals, 1, qt.Commentf("200 requests in progress, 120 slots"))
	}
	play(now, 20*time.Second, hosts, true, func() {})
	for _, h := range hosts {
		c.Check(len(h.plan)+len(h.refusals)+len(h.planner.Demands()), qt.Equals, 0, qt.Commentf("no reports"))
	}
}

// Guards against demand that is counted once for each control host that an entry host
// follows: without a quorum it follows all of them.
func TestDemandOfReportToTwoControlHostsCountsOnce(t *testing.T) {
	hosts := [2]*planHost{newPlanHost(), newPlanHost()}
	play(0, 10*time.Second, hosts, true, func() {
		r := answers(30)
		for _, h := range hosts {
			h.report("a", r)
			r.DemandElsewhere = true
		}
	})
	for _, h := range hosts {
		qt.Check(t, h.plan, qt.HasLen, 0) // the limit of zone a is 42
	}
}

// Guards against failures, which are sampled first, that make the demand look smaller.
func TestFailuresDoNotHideDemand(t *testing.T) {
	h := newPlanHost()
	r := answers(30)
	for n := range r.Samples[:30] {
		r.Samples[n].Kind = pace.Unanswered
	}
	h.report("a", r)
	qt.Assert(t, h.takeDemands(500 * time.Millisecond)[0].Busy, qt.Equals, 24.0) // 120 answers of 100 ms
}

// Guards against refusals of a control host that is gone, against the plan of one without
// a quorum, which may see only a part of the demand, and against refusals without a control
// host that could withdraw them.
func TestPlanInForce(t *testing.T) {
	c := qt.New(t)
	p := zonePlans{}
	plan := func(share float64, percent int, current bool) feed.Update {
		u := feed.Update{HasPlan: true, Current: current, Plan: []spread.ZoneShare{{Service: "s", From: "a", To: "b", Share: share}}}
		if percent > 0 {
			u.Refusals = []admission.Refusal{{Service: "s", Priority: 1, Percent: percent}}
		}
		return u
	}
	check := func(changed bool, share float64, refusals int, comment string) {
		c.Helper()
		c.Check(changed, qt.IsTrue, qt.Commentf(comment))
		c.Check(p.inForce.shares[0].Share, qt.Equals, share, qt.Commentf(comment))
		c.Check(p.inForce.refusals, qt.HasLen, refusals, qt.Commentf(comment))
	}
	check(p.receive("c1", "a", plan(0.1, 0, true)), 0.1, 0, "first")
	check(p.receive("c2", "a", plan(0.2, 90, true)), 0.2, 1, "latest")
	check(p.drop("c2"), 0.1, 0, "its control host disconnected")
	check(p.receive("c2", "a", plan(0.2, 90, true)), 0.2, 1, "connected again")
	check(p.receive("c2", "a", feed.Update{Current: false}), 0.1, 0, "lost its quorum")
	c.Check(p.receive("c2", "a", plan(0.3, 90, false)), qt.IsFalse)
	c.Check(p.receive("c1", "a", feed.Update{Current: true}), qt.IsFalse)
	check(p.drop("c1"), 0.3, 1, "the only one left")
	check(p.drop("c2"), 0.3, 0, "no control host")
}

// Guards against a control host that just started and sends a plan for a part of the
// demand, and against one that never sends an empty plan, so that an entry host keeps the
// plan of another one that is gone.
func TestFirstPlan(t *testing.T) {
	h := newPlanHost()
	play(0, firstPlanDelay, [2]*planHost{h, newPlanHost()}, false, func() { h.report("a", answers(60)) })
	qt.Check(t, h.planRevision, qt.Equals, uint64(0))
	idle := newPlanHost()
	play(0, firstPlanDelay+time.Second, [2]*planHost{h, idle}, false, func() { h.report("a", answers(60)) })
	qt.Check(t, h.plan, qt.HasLen, 1)
	qt.Check(t, idle.planRevision, qt.Equals, uint64(1))
}

// Guards against refusals that an entry host keeps after their control host disconnected.
func TestRefusalsEndWithTheirControlHost(t *testing.T) {
	log := eventlog.New(io.Discard, "e1", time.Now)
	defer log.Close(time.Second)
	h := &EntryHost{
		cfg: Config{Zone: "a"}, features: Features{Pace: true}, log: log, metrics: metrics.New(), started: time.Now(),
		catalog: catalog.New(catalog.Config{Interval: time.Second}), documents: map[string]*document.Document{}, levels: shareLevels{},
		steerer: steering.New(steering.Config{Zone: "a", Shares: true, Random: newRandom()}),
	}
	h.controlHosts = newControlHosts(context.Background(), feed.HostInfo{Addr: "e1"}, nil, h)
	h.documents["c1"] = &document.Document{Version: 1, Routes: []document.Route{{Address: planRoute, Targets: []document.Target{{Service: "s", Weight: 1}}, Priority: 1}}}
	h.steerer.SetTable(0, steering.Build(h.documents["c1"], []catalog.Record{{Heartbeat: catalog.Heartbeat{ID: "x0", Service: "s", Zone: "a", Born: 1}}}))
	refused := func() (n int) {
		for port := range uint16(20) {
			caller := netip.AddrPortFrom(netip.MustParseAddr("10.2.0.1"), 1000+port)
			if h.steerer.Decide(0, steering.Packet{Opening: true, Caller: caller, Route: planRoute}).Reason == steering.Overload {
				n++
			}
		}
		return n
	}
	h.Updated("c1", feed.Update{Current: true, HasPlan: true, Refusals: []admission.Refusal{{Service: "s", Priority: 1, Percent: 90}}})
	qt.Check(t, refused() > 15, qt.IsTrue)
	h.ConnectionChanged("c1", false)
	qt.Check(t, refused(), qt.Equals, 0)
}

// Guards against room of cold backend servers, which get a few flows a second only.
func TestColdServersHaveNoRoom(t *testing.T) {
	h := &ControlHost{
		features: Features{Pace: true}, started: time.Now(), metrics: metrics.New(), shares: sharePool{pool: pace.NewPool()},
		catalog: catalog.New(catalog.Config{Self: "c1", Interval: time.Second, ColdBound: true}),
		cold:    coldServices{bound: warmup.Bound{Slack: 5}, document: &document.Document{}},
	}
	for n, left := range []time.Duration{0, time.Minute} {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+n))
		h.catalog.ReceiveHeartbeat(h.now(), catalog.Heartbeat{ID: fmt.Sprint("x", n), Service: "s", Zone: "a", Born: 5, Slots: 10, Address: address, WarmLeft: left})
	}
	h.levelsRevision()
	qt.Check(t, h.rooms(), qt.DeepEquals, []spread.Room{{Service: "s", Zone: "a", Slots: 10}})
	h.catalog.StartZoneWarmup(h.now(), "a", func(string) time.Duration { return time.Minute })
	qt.Check(t, h.rooms(), qt.HasLen, 0)
}

// Guards against gauges that keep a value after the plan and the demand are gone.
func TestPlanGaugesBecomeZero(t *testing.T) {
	log := eventlog.New(io.Discard, "c1", time.Now)
	defer log.Close(time.Second)
	h := &ControlHost{log: log, metrics: metrics.New(), zones: newZonePlanner()}
	h.zones.plan = []spread.ZoneShare{{Service: "s", From: "a", To: "b", Share: 0.5}}
	h.zones.refusals = []admission.Refusal{{Service: "s", Priority: 1, Percent: 20}}
	h.logPlan()
	qt.Check(t, h.metrics.Gauge("spread.away_percent.s.a").Value(), qt.Equals, int64(50))
	qt.Check(t, h.metrics.Gauge("admission.refused_percent.s.1").Value(), qt.Equals, int64(20))
	h.zones.plan, h.zones.refusals = nil, nil
	h.logPlan()
	qt.Check(t, h.metrics.Gauge("spread.away_percent.s.a").Value(), qt.Equals, int64(0))
	qt.Check(t, h.metrics.Gauge("admission.refused_percent.s.1").Value(), qt.Equals, int64(0))
}
