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

func settings(version uint64) *document.Document {
	return &document.Document{
		Version: version, Services: []string{"orders", "photos"},
		Routes: []document.Route{
			{Name: "a", Address: orders, Timeout: 1, Targets: []document.Target{{Service: "orders", Weight: 1}}},
			{Name: "b", Address: shared, Timeout: 1, Targets: []document.Target{{Service: "orders", Weight: 9}, {Service: "photos", Weight: 1}}},
		},
	}
}

const drainUse = time.Second

func backend(id, service, zone string, status catalog.Status) catalog.Record {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[len(id)-1]}), 80)
	return catalog.Record{
		Heartbeat: catalog.Heartbeat{ID: id, Service: service, Zone: zone, Address: address, Slots: 2, Born: 1},
		Status:    status,
	}
}

func steererOf(t *testing.T, records ...catalog.Record) *Steerer {
	s := New(Config{Zone: "a", DrainUse: drainUse})
	qt.Assert(t, s.Use(0, Build(settings(1), records)), qt.IsTrue)
	return s
}

func syn(caller int, route netip.AddrPort, copies uint32) Packet {
	return Packet{Caller: callerOf(caller), Route: route, Opening: true, Copy: copies}
}

func callerOf(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(40000+n))
}

// told returns a decision as text: verdict, reason, and backend server if any.
func told(d Decision) string {
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
		{"another zone if need be", []catalog.Record{backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Draining)}, orders, "forward placed x1"},
		{"silent ones last", []catalog.Record{backend("x1", "orders", "b", catalog.Ready), backend("x2", "orders", "a", catalog.Silent)}, orders, "forward placed x1"},
		{"silent ones rather than none", []catalog.Record{backend("x2", "orders", "a", catalog.Silent)}, orders, "forward placed x2"},
		{"draining ones never", []catalog.Record{backend("x1", "orders", "a", catalog.Draining), backend("x2", "photos", "a", catalog.Ready)}, orders, "refuse no_server"},
		{"other services never", []catalog.Record{backend("x2", "photos", "a", catalog.Ready)}, orders, "refuse no_server"},
		{"all have left", []catalog.Record{backend("x1", "orders", "a", catalog.Gone)}, orders, "refuse no_server"},
		{"unknown route", []catalog.Record{backend("x1", "orders", "a", catalog.Ready)}, netip.MustParseAddrPort("198.18.0.9:1"), "refuse no_route"},
		{"nothing known yet", nil, orders, "drop no_state"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := steererOf(t, tt.records...)
			qt.Assert(t, told(s.Decide(0, syn(1, tt.route, 0))), qt.Equals, tt.want)
		})
	}
}

func TestWithoutSettingsNothingIsRefused(t *testing.T) {
	s := New(Config{Zone: "a", DrainUse: drainUse})
	qt.Assert(t, told(s.Decide(0, syn(1, orders, 0))), qt.Equals, "drop no_state")
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
		{"a reset is not answered by one", TokenOf("x4"), true, "drop server_gone"},
		{"unknown", TokenOf("x9"), false, "drop unknown_token"},
		{"no token", 0, false, "drop unknown_token"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := steererOf(t, records...)
			d := s.Decide(0, Packet{Caller: callerOf(1), Route: orders, Token: tt.token, Reset: tt.reset})
			qt.Assert(t, told(d), qt.Equals, tt.want)
		})
	}
}

// A host that never saw a flow sends its packets where the others do.
func TestTokensNeedNoState(t *testing.T) {
	records := []catalog.Record{backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)}
	one, other := steererOf(t, records...), steererOf(t, records...)
	for n := range 50 {
		d := one.Decide(0, syn(n, orders, 0))
		next := other.Decide(0, Packet{Caller: callerOf(n), Route: orders, Token: d.Server.Token})
		qt.Assert(t, next.Server.ID, qt.Equals, d.Server.ID)
	}
}

func TestCopyGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	c.Assert(told(s.Decide(0, syn(1, orders, 0))), qt.Equals, "forward placed x1")
	c.Assert(told(s.Decide(200*time.Millisecond, syn(1, orders, 1))), qt.Equals, "forward placed_again x2")
	c.Assert(told(s.Decide(600*time.Millisecond, syn(1, orders, 2))), qt.Equals, "forward placed_again x1")
}

// All copies of an opening packet go to the same service, on every host.
func TestSharesOfAService(t *testing.T) {
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "photos", "a", catalog.Ready))
	count := map[string]int{}
	for n := range 5000 {
		first := s.Decide(0, syn(n, shared, 0)).Server.Service
		qt.Assert(t, s.Decide(0, syn(n, shared, 1)).Server.Service, qt.Equals, first)
		count[first]++
	}
	qt.Assert(t, count["photos"] > 400 && count["photos"] < 600, qt.IsTrue, qt.Commentf("%v, a tenth is 500", count))
}

func TestOlderTableIsRefused(t *testing.T) {
	c := qt.New(t)
	s := New(Config{Zone: "a", DrainUse: drainUse})
	c.Assert(s.Use(0, Build(settings(2), nil)), qt.IsTrue)
	c.Assert(s.Use(0, Build(settings(1), nil)), qt.IsFalse)
	c.Assert(s.Table().Version, qt.Equals, uint64(2))
}

// Two ids with one token: flows of the one started first stay with it.
func TestTokenCollision(t *testing.T) {
	c := qt.New(t)
	first, second := backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)
	second.Born = 2
	for _, order := range [][]catalog.Record{{first, second}, {second, first}} {
		table := Build(settings(1), nil)
		for _, r := range order {
			table.add(&Server{Record: r, Token: 7})
		}
		c.Assert(table.tokens[7].ID, qt.Equals, "x1")
		c.Assert(table.services["orders"], qt.HasLen, 1)
		c.Assert(table.services["orders"][0].ID, qt.Equals, "x1")
	}
}

func TestForget(t *testing.T) {
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready))
	s.Decide(0, syn(1, orders, 0))
	s.Forget(openingMemory)
	qt.Assert(t, s.opened, qt.HasLen, 1)
	s.Forget(openingMemory + 1)
	qt.Assert(t, s.opened, qt.HasLen, 0)
}

func BenchmarkDecide(b *testing.B) {
	var records []catalog.Record
	for n := range 150 {
		records = append(records, backend(fmt.Sprintf("i-%d", n), "orders", "a", catalog.Ready))
	}
	s := New(Config{Zone: "a", DrainUse: drainUse})
	s.Use(0, Build(settings(1), records))
	packet := Packet{Caller: callerOf(1), Route: orders, Token: TokenOf("i-7")}
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
}

func TestUnansweredServersAreAvoided(t *testing.T) {
	c := qt.New(t)
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	first := s.Decide(0, syn(1, orders, 0))
	c.Assert(first.Server.ID, qt.Equals, "x1")
	d := s.Decide(200*time.Millisecond, syn(1, orders, 1))
	c.Assert(d.Server.ID, qt.Equals, "x2")
	c.Assert(d.Unanswered, qt.IsNil, qt.Commentf("nobody has answered this host, so the fault may be its own"))
	c.Assert(s.Decide(300*time.Millisecond, syn(2, orders, 0)).Server.ID, qt.Equals, "x2")
	c.Assert(s.Decide(200*time.Millisecond+suspectFor, syn(3, orders, 0)).Server.ID, qt.Equals, "x1")
}

func TestSuspicionIsToldOnceOthersAnswer(t *testing.T) {
	c := qt.New(t)
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	s.Decide(0, syn(1, orders, 0))
	s.Decide(200*time.Millisecond, syn(1, orders, 1))
	opened := s.Decide(202*time.Millisecond, Packet{Caller: callerOf(1), Route: orders, Token: TokenOf("x2")})
	c.Assert(opened.Opened, qt.Equals, 202*time.Millisecond)
	again := s.Decide(210*time.Millisecond, Packet{Caller: callerOf(1), Route: orders, Token: TokenOf("x2")})
	c.Assert(again.Opened, qt.Equals, time.Duration(0))
	s.suspects.clear(210*time.Millisecond, "x1")
	c.Assert(s.Decide(300*time.Millisecond, syn(2, orders, 0)).Server.ID, qt.Equals, "x1")
	d := s.Decide(500*time.Millisecond, syn(2, orders, 1))
	c.Assert(d.Unanswered.ID, qt.Equals, "x1")
}

func TestSuspicionEnds(t *testing.T) {
	c := qt.New(t)
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "b", catalog.Ready))
	s.Suspect(0, "x1", 1)
	c.Assert(s.Decide(0, syn(1, orders, 0)).Server.ID, qt.Equals, "x2")
	s.suspects.clear(0, "x1")
	c.Assert(s.Decide(0, syn(2, orders, 0)).Server.ID, qt.Equals, "x1", qt.Commentf("it answered"))
	s.Suspect(0, "x1", 0)
	c.Assert(s.Decide(0, syn(3, orders, 0)).Server.ID, qt.Equals, "x1", qt.Commentf("an earlier start was meant"))
	for range 100 {
		s.Suspect(0, "x1", 1)
	}
	c.Assert(s.Decide(maxSuspectFor, syn(4, orders, 0)).Server.ID, qt.Equals, "x1")
}

// If all are suspected, one of them is better than none.
func TestSuspectsRatherThanNone(t *testing.T) {
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready))
	s.Suspect(0, "x1", 1)
	qt.Assert(t, told(s.Decide(0, syn(1, orders, 0))), qt.Equals, "forward placed x1")
}

func TestLateCopyOfAnOpenFlow(t *testing.T) {
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready))
	d := s.Decide(time.Millisecond, syn(1, orders, 0))
	s.Decide(2*time.Millisecond, Packet{Caller: callerOf(1), Route: orders, Token: d.Server.Token})
	qt.Assert(t, told(s.Decide(200*time.Millisecond, syn(1, orders, 1))), qt.Equals, "drop open_already")
	qt.Assert(t, told(s.Decide(300*time.Millisecond, syn(1, orders, 0))), qt.Equals, "forward placed x2")
}

// A draining backend server still takes flows for a while, which is better than
// to refuse callers if there is no other.
func TestDrainingRatherThanNone(t *testing.T) {
	c := qt.New(t)
	s := steererOf(t, backend("x1", "orders", "a", catalog.Ready))
	s.Use(time.Second, Build(settings(1), []catalog.Record{backend("x1", "orders", "a", catalog.Draining)}))
	c.Assert(told(s.Decide(time.Second, syn(1, orders, 0))), qt.Equals, "forward placed x1")
	c.Assert(told(s.Decide(time.Second+drainUse, syn(2, orders, 0))), qt.Equals, "refuse no_server")
	s.Use(2*time.Second, Build(settings(1), []catalog.Record{
		backend("x1", "orders", "a", catalog.Draining), backend("x2", "orders", "b", catalog.Ready),
	}))
	c.Assert(told(s.Decide(time.Second, syn(3, orders, 0))), qt.Equals, "forward placed x2")
}

// A host that does not know since when a backend server drains gives it none.
func TestDrainingForAnUnknownTime(t *testing.T) {
	s := steererOf(t, backend("x1", "orders", "a", catalog.Draining))
	qt.Assert(t, told(s.Decide(0, syn(1, orders, 0))), qt.Equals, "refuse no_server")
}
