package steering

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
)

var (
	orders = netip.MustParseAddrPort("198.18.0.1:443")
	shared = netip.MustParseAddrPort("198.18.0.1:80")
)

func testDocument(version uint64) *document.Document {
	return &document.Document{
		Version: version, Services: []string{"orders", "photos"},
		Routes: []document.Route{
			{Name: "a", Address: orders, Timeout: 1, Targets: []document.Target{{Service: "orders", Weight: 1}}},
			{Name: "b", Address: shared, Timeout: 1, Targets: []document.Target{{Service: "orders", Weight: 9}, {Service: "photos", Weight: 1}}},
		},
	}
}

const drainFallback = time.Second

func backend(id, service, zone string, status catalog.Status) catalog.Record {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[len(id)-1]}), 80)
	return catalog.Record{
		Heartbeat: catalog.Heartbeat{ID: id, Service: service, Zone: zone, Address: address, Slots: 2, Born: 1},
		Status:    status,
	}
}

func newTestSteerer(t *testing.T, records ...catalog.Record) *Steerer {
	s := New(Config{Zone: "a", DrainFallback: drainFallback})
	qt.Assert(t, s.SetTable(0, Build(testDocument(1), records)), qt.IsTrue)
	return s
}

func syn(caller int, route netip.AddrPort, copies uint32) Packet {
	return Packet{Caller: callerAddress(caller), Route: route, Opening: true, Copy: copies}
}

func callerAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(40000+n))
}

// describe returns a decision as text: verdict, reason and, if any, backend server.
func describe(d Decision) string {
	text := fmt.Sprintf("%v %v", d.Verdict, d.Reason)
	if d.Server != nil {
		text += " " + d.Server.ID
	}
	return text
}

func TestOpening(t *testing.T) {
	tests := []struct {
		name    string
		records []catalog.Record
		route   netip.AddrPort
		want    string
	}{
		{"own zone first", []catalog.Record{backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)}, orders, "forward placed x2"},
		{"another zone if its own has none", []catalog.Record{backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Draining)}, orders, "forward placed x1"},
		{"silent ones after ready ones of other zones", []catalog.Record{backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Silent)}, orders, "forward placed x1"},
		{"silent ones if there are no others", []catalog.Record{backend("x2", "orders", "a", catalog.Silent)}, orders, "forward placed x2"},
		{"no draining ones", []catalog.Record{backend("x1", "orders", "a", catalog.Draining), backend("x2", "photos", "a", catalog.Ready)}, orders, "refuse no_server"},
		{"no other services", []catalog.Record{backend("x2", "photos", "a", catalog.Ready)}, orders, "refuse no_server"},
		{"all are gone", []catalog.Record{backend("x1", "orders", "a", catalog.Gone)}, orders, "refuse no_server"},
		{"unknown route", []catalog.Record{backend("x1", "orders", "a", catalog.Ready)}, netip.MustParseAddrPort("198.18.0.9:1"), "refuse no_route"},
		{"no backend server known", nil, orders, "drop no_state"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSteerer(t, tt.records...)
			qt.Assert(t, describe(s.Decide(0, syn(1, tt.route, 0))), qt.Equals, tt.want)
		})
	}
}

func TestWithoutTableNothingIsRefused(t *testing.T) {
	s := New(Config{Zone: "a", DrainFallback: drainFallback})
	qt.Assert(t, describe(s.Decide(0, syn(1, orders, 0))), qt.Equals, "drop no_state")
}

func TestOpenFlow(t *testing.T) {
	records := []catalog.Record{
		backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Draining),
		backend("x3", "orders", "a", catalog.Silent), backend("x4", "orders", "a", catalog.Gone),
	}
	tests := []struct {
		name  string
		token Token
		reset bool
		want  string
	}{
		{"ready", TokenOf("x1"), false, "forward by_token x1"},
		{"draining keeps its flows", TokenOf("x2"), false, "forward by_token x2"},
		{"silent keeps its flows", TokenOf("x3"), false, "forward by_token x3"},
		{"gone", TokenOf("x4"), false, "refuse server_gone x4"},
		{"reset for a gone one", TokenOf("x4"), true, "drop server_gone"},
		{"unknown", TokenOf("x9"), false, "drop unknown_token"},
		{"no token", 0, false, "drop unknown_token"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSteerer(t, records...)
			d := s.Decide(0, Packet{Caller: callerAddress(1), Route: orders, Token: tt.token, Reset: tt.reset})
			qt.Assert(t, describe(d), qt.Equals, tt.want)
		})
	}
}

// A host that has not seen a flow before sends its packets to the same backend
// server as the host that placed the flow.
func TestTokensNeedNoState(t *testing.T) {
	records := []catalog.Record{backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)}
	first, second := newTestSteerer(t, records...), newTestSteerer(t, records...)
	for n := range 50 {
		d := first.Decide(0, syn(n, orders, 0))
		next := second.Decide(0, Packet{Caller: callerAddress(n), Route: orders, Token: d.Server.Token})
		qt.Assert(t, next.Server.ID, qt.Equals, d.Server.ID)
	}
}

func TestRetransmissionGoesToAnotherServer(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	c.Assert(describe(s.Decide(0, syn(1, orders, 0))), qt.Equals, "forward placed x1")
	c.Assert(describe(s.Decide(200*time.Millisecond, syn(1, orders, 1))), qt.Equals, "forward placed_again x2")
	c.Assert(describe(s.Decide(600*time.Millisecond, syn(1, orders, 2))), qt.Equals, "forward placed_again x1")
}

// All copies of an opening packet go to the same service, and services get new
// flows in proportion to their weights.
func TestRouteWeights(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "photos", "a", catalog.Ready))
	count := map[string]int{}
	for n := range 5000 {
		first := s.Decide(0, syn(n, shared, 0)).Server.Service
		qt.Assert(t, s.Decide(0, syn(n, shared, 1)).Server.Service, qt.Equals, first)
		count[first]++
	}
	qt.Assert(t, count["photos"] > 400 && count["photos"] < 600, qt.IsTrue, qt.Commentf("%v, the expected count of photos is 500", count))
}

func TestOlderTableIsRefused(t *testing.T) {
	c := qt.New(t)
	s := New(Config{Zone: "a", DrainFallback: drainFallback})
	c.Assert(s.SetTable(0, Build(testDocument(2), nil)), qt.IsTrue)
	c.Assert(s.SetTable(0, Build(testDocument(1), nil)), qt.IsFalse)
	c.Assert(s.Table().Version, qt.Equals, uint64(2))
}

// If two backend servers have the same token, the one started first keeps its
// flows, whichever was added first.
func TestTokenCollision(t *testing.T) {
	c := qt.New(t)
	first, second := backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)
	second.Born = 2
	for _, order := range [][]catalog.Record{{first, second}, {second, first}} {
		table := Build(testDocument(1), nil)
		for _, r := range order {
			table.add(&Server{Record: r, Token: 7})
		}
		c.Assert(table.tokens[7].ID, qt.Equals, "x1")
		c.Assert(table.services["orders"], qt.HasLen, 1)
		c.Assert(table.services["orders"][0].ID, qt.Equals, "x1")
	}
}

func TestExpire(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready))
	s.Decide(0, syn(1, orders, 0))
	s.Expire(openingRetention)
	qt.Assert(t, s.openings, qt.HasLen, 1)
	s.Expire(openingRetention + 1)
	qt.Assert(t, s.openings, qt.HasLen, 0)
}

func BenchmarkDecide(b *testing.B) {
	var records []catalog.Record
	for n := range 150 {
		records = append(records, backend(fmt.Sprintf("i-%d", n), "orders", "a", catalog.Ready))
	}
	s, withShares := New(Config{Zone: "a", DrainFallback: drainFallback}), newShareSteerer(1, records...)
	s.SetTable(0, Build(testDocument(1), records))
	packet := Packet{Caller: callerAddress(1), Route: orders, Token: TokenOf("i-7")}
	b.Run("open flow", func(b *testing.B) {
		for b.Loop() {
			s.Decide(0, packet)
		}
	})
	b.Run("new flow", func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			s.Decide(0, syn(n%60000, orders, 0))
		}
	})
	b.Run("new flow with shares", func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			withShares.Decide(0, syn(n%60000, orders, 0))
		}
	})
}

func TestServersThatDoNotAnswerAreAvoided(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	first := s.Decide(0, syn(1, orders, 0))
	c.Assert(first.Server.ID, qt.Equals, "x1")
	d := s.Decide(200*time.Millisecond, syn(1, orders, 1))
	c.Assert(d.Server.ID, qt.Equals, "x2")
	c.Assert(d.Unanswered, qt.IsNil, qt.Commentf("no backend server has answered this host, so the fault may be its own"))
	c.Assert(s.Decide(300*time.Millisecond, syn(2, orders, 0)).Server.ID, qt.Equals, "x2")
	c.Assert(s.Decide(200*time.Millisecond+suspectDuration, syn(3, orders, 0)).Server.ID, qt.Equals, "x1")
}

func TestSuspicionIsReportedOnceAnyServerAnswers(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	s.Decide(0, syn(1, orders, 0))
	s.Decide(200*time.Millisecond, syn(1, orders, 1))
	opened := s.Decide(202*time.Millisecond, Packet{Caller: callerAddress(1), Route: orders, Token: TokenOf("x2")})
	c.Assert(opened.Opened, qt.Equals, 202*time.Millisecond)
	again := s.Decide(210*time.Millisecond, Packet{Caller: callerAddress(1), Route: orders, Token: TokenOf("x2")})
	c.Assert(again.Opened, qt.Equals, time.Duration(0))
	s.suspects.recordAnswer(210*time.Millisecond, "x1")
	c.Assert(s.Decide(300*time.Millisecond, syn(2, orders, 0)).Server.ID, qt.Equals, "x1")
	d := s.Decide(500*time.Millisecond, syn(2, orders, 1))
	c.Assert(d.Unanswered.ID, qt.Equals, "x1")
}

func TestSuspicionEnds(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	s.AddSuspicion(0, "x1", 1)
	c.Assert(s.Decide(0, syn(1, orders, 0)).Server.ID, qt.Equals, "x2")
	s.suspects.recordAnswer(0, "x1")
	c.Assert(s.Decide(0, syn(2, orders, 0)).Server.ID, qt.Equals, "x1", qt.Commentf("it has answered"))
	s.AddSuspicion(0, "x1", 0)
	c.Assert(s.Decide(0, syn(3, orders, 0)).Server.ID, qt.Equals, "x1", qt.Commentf("the suspicion is of an earlier incarnation"))
	for range 100 {
		s.AddSuspicion(0, "x1", 1)
	}
	c.Assert(s.Decide(maxSuspectDuration, syn(4, orders, 0)).Server.ID, qt.Equals, "x1")
}

// If all backend servers are suspects, they still get new flows.
func TestSuspectsRatherThanNone(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready))
	s.AddSuspicion(0, "x1", 1)
	qt.Assert(t, describe(s.Decide(0, syn(1, orders, 0))), qt.Equals, "forward placed x1")
}

func TestLateCopyOfAnOpenFlow(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready))
	d := s.Decide(time.Millisecond, syn(1, orders, 0))
	s.Decide(2*time.Millisecond, Packet{Caller: callerAddress(1), Route: orders, Token: d.Server.Token})
	qt.Assert(t, describe(s.Decide(200*time.Millisecond, syn(1, orders, 1))), qt.Equals, "drop open_already")
	qt.Assert(t, describe(s.Decide(300*time.Millisecond, syn(1, orders, 0))), qt.Equals, "forward placed x2")
}

// If there is no other, a backend server that began to drain recently still gets
// new flows, so that callers are not refused.
func TestDrainingRatherThanNone(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready))
	s.SetTable(time.Second, Build(testDocument(1), []catalog.Record{backend("x1", "orders", "a", catalog.Draining)}))
	c.Assert(describe(s.Decide(time.Second, syn(1, orders, 0))), qt.Equals, "forward placed x1")
	c.Assert(describe(s.Decide(time.Second+drainFallback, syn(2, orders, 0))), qt.Equals, "refuse no_server")
	s.SetTable(2*time.Second, Build(testDocument(1), []catalog.Record{
		backend("x1", "orders", "a", catalog.Draining), backend("x2", "orders", "b", catalog.Ready),
	}))
	c.Assert(describe(s.Decide(time.Second, syn(3, orders, 0))), qt.Equals, "forward placed x2")
}

// A backend server gets no new flows from a host that does not know when it began
// to drain.
func TestDrainingForAnUnknownTime(t *testing.T) {
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Draining))
	qt.Assert(t, describe(s.Decide(0, syn(1, orders, 0))), qt.Equals, "refuse no_server")
}

// Guards against suspicions of backend servers that had no time to answer, because the
// opening packet waited at the host until just before its next copy.
func TestCopyRightAfterAHeldPacketGoesToTheSameServer(t *testing.T) {
	c := qt.New(t)
	s := newTestSteerer(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready))
	first := s.DecideHeld(590*time.Millisecond, 190*time.Millisecond, syn(1, orders, 1))
	c.Assert(first.Reason, qt.Equals, Placed)
	second := s.Decide(600*time.Millisecond, syn(1, orders, 2))
	c.Assert(describe(second), qt.Equals, "forward placed_again "+first.Server.ID)
	c.Assert(s.suspects.byID, qt.HasLen, 0)
	open := Packet{Caller: callerAddress(1), Route: orders, Token: first.Server.Token}
	c.Assert(s.Decide(605*time.Millisecond, open).Opened, qt.Equals, 15*time.Millisecond)

	third := s.DecideHeld(700*time.Millisecond, 0, syn(2, orders, 0))
	fourth := s.Decide(900*time.Millisecond, syn(2, orders, 1))
	c.Assert(fourth.Server.ID, qt.Not(qt.Equals), third.Server.ID, qt.Commentf("the server had its time"))
	c.Assert(s.suspects.byID, qt.HasLen, 1)
}
