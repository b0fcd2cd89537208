package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/document"
	"greengagequay/internal/feed"
	"greengagequay/internal/pace"
	"greengagequay/internal/spread"
	"greengagequay/internal/steering"
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
