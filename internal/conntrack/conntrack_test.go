package conntrack

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/document"
	"greengagequay/internal/steering"
)

var testRoute = netip.MustParseAddrPort("198.18.0.1:443")

// testTable returns a table of one route and the given backend servers.
func testTable(records ...catalog.Record) *steering.Table {
	targets := []document.Target{{Service: "orders", Weight: 1}}
	return steering.Build(&document.Document{Version: 1, IdleTimeout: 15_000, Routes: []document.Route{{Address: testRoute, Timeout: 1000, Targets: targets}}}, records)
}

// testServers returns the records of backend servers i-0 to i-n.
func testServers(n int) []catalog.Record {
	var records []catalog.Record
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		records = append(records, catalog.Record{Heartbeat: catalog.Heartbeat{ID: fmt.Sprintf("i-%d", i), Service: "orders", Zone: "a", Born: 1, Address: address}})
	}
	return records
}

// host is a table on a fake clock, with two backend servers.
type host struct {
	*Table
	now, tickAt time.Duration
	outcomes    []string
}

func newHost(cfg Config) *host {
	h := &host{Table: New(cfg)}
	h.SetTable(0, testTable(testServers(2)...))
	return h
}

// advance ticks every 100 ms until a time.
func (h *host) advance(to time.Duration) {
	for ; h.tickAt <= to; h.tickAt += 100 * time.Millisecond {
		for _, o := range h.Tick(h.tickAt) {
			h.outcomes = append(h.outcomes, fmt.Sprintf("%v %s %v %d", o.Kind, o.Server, o.Latency, o.Bytes))
		}
	}
	h.now = to
}

// packet is a packet at a time in milliseconds, forwarded to a backend server.
type packet struct {
	ms, server int
	p          steering.Packet
}

func opened(ms, server int, copies uint32) packet {
	return packet{ms, server, steering.Packet{Opening: true, Copy: copies}}
}

// sent is a packet with the data from the byte first to before, none if they are equal.
func sent(ms, server int, first, before, ack uint32) packet {
	return packet{ms, server, steering.Packet{Sequence: first, Data: int(before - first), Ack: ack}}
}

func ended(ms int, first, ack uint32) packet {
	return packet{ms, 0, steering.Packet{Sequence: first, Ack: ack, Fin: true}}
}

func (h *host) observe(port uint16, packets ...packet) {
	for _, x := range packets {
		h.advance(max(h.now, time.Duration(x.ms)*time.Millisecond))
		x.p.Caller, x.p.Route = netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), testRoute
		server := h.steering.Server(steering.TokenOf(fmt.Sprintf("i-%d", x.server)))
		x.p.Token = server.Token
		h.Observe(h.now, x.p, steering.Decision{Server: server})
	}
}

// Guards against outcomes of servers that had nothing to do with them, and against
// wrong times, when packets are lost, repeated, reordered or go another way.
func TestOutcomes(t *testing.T) {
	late := uint32(0xffff_ff00) // numbers wrap around after it
	tests := []struct {
		name    string
		packets []packet // after an opening packet to server 0, unless the first one opens a flow or is at 0 ms
		want    []string
	}{
		{"two requests", []packet{sent(10, 0, 100, 100, 900), sent(20, 0, 100, 200, 900), sent(70, 0, 200, 200, 1400), sent(75, 0, 200, 200, 3000),
			sent(500, 0, 200, 300, 3000), sent(580, 0, 300, 300, 3155)}, []string{"answered i-0 50ms 500", "answered i-0 80ms 155"}},
		{"numbers wrap around", []packet{sent(10, 0, late, late+0x180, late), sent(60, 0, late+0x180, late+0x180, late+600),
			sent(70, 0, late+0x180, late+0x200, late+600), sent(90, 0, late+0x200, late+0x200, late+1000)}, []string{"answered i-0 50ms 600", "answered i-0 20ms 400"}},
		{"several packets, one repeated, some reordered", []packet{sent(10, 0, 100, 1300, 900), sent(11, 0, 2500, 2600, 900), sent(12, 0, 1300, 2500, 900), sent(210, 0, 100, 1300, 900),
			sent(300, 0, 2600, 2600, 1400), sent(301, 0, 2600, 2600, 900), sent(302, 0, 100, 1300, 900), sent(303, 0, 2600, 2600, 1400)}, []string{"answered i-0 290ms 500"}},
		{"upload goes on after an early answer", []packet{sent(10, 0, 100, 1300, 900), sent(50, 0, 1300, 1300, 1055),
			sent(60, 0, 1300, 2500, 1055), sent(61, 0, 2500, 2600, 1055)}, []string{"answered i-0 40ms 155"}},
		{"refused", []packet{opened(0, 1, 0)}, []string{"refused i-1 0s 0"}},
		{"refused after a copy to another server", []packet{opened(200, 1, 1)}, []string{"refused i-1 0s 0"}},
		{"copies at their usual times", []packet{opened(200, 1, 1), opened(600, 0, 2), sent(650, 0, 100, 100, 900)}, nil},
		{"last copy unanswered", []packet{opened(200, 1, 1), opened(600, 0, 2)}, nil},
		{"late answer of the first server", []packet{opened(200, 1, 1), sent(250, 0, 100, 200, 900), sent(300, 0, 200, 200, 1400)}, []string{"answered i-0 50ms 500"}},
		{"unanswered, answered late", []packet{sent(10, 0, 100, 200, 900), sent(210, 0, 100, 200, 900), sent(1500, 0, 200, 200, 1400),
			sent(1600, 0, 200, 300, 1400), sent(1650, 0, 300, 300, 1900)}, []string{"unanswered i-0 0s 0", "answered i-0 50ms 500"}},
		{"caller gives up first", []packet{sent(10, 0, 100, 200, 900), ended(950, 200, 900)}, []string{"unanswered i-0 0s 0"}},
		{"caller cancels", []packet{sent(10, 0, 100, 200, 900), ended(300, 200, 900)}, nil},
		{"answer with FIN", []packet{sent(10, 0, 100, 200, 900), ended(60, 200, 1400), sent(65, 0, 201, 201, 1401)}, []string{"answered i-0 50ms 500"}},
		{"acknowledgements lost", []packet{sent(10, 0, 100, 200, 900), sent(800, 0, 200, 300, 1400), sent(850, 0, 300, 300, 1900)}, []string{"answered i-0 50ms 500"}},
		{"arrives during a request", []packet{sent(0, 0, 700, 800, 900), sent(10, 0, 800, 900, 900), sent(1500, 0, 900, 900, 1400),
			sent(1600, 0, 900, 1000, 1400), sent(1620, 0, 1000, 1000, 1555)}, []string{"answered i-0 20ms 155"}},
		{"was elsewhere during a request", []packet{sent(10, 0, 100, 100, 900), sent(3000, 0, 300, 400, 1400), sent(3100, 0, 400, 400, 1900)}, nil},
		{"next flow of the ports", []packet{sent(10, 0, 100, 200, 900), opened(100, 1, 0), sent(110, 1, 5000, 5100, 70), sent(150, 1, 5100, 5100, 470)}, []string{"answered i-1 40ms 400"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(Config{FullData: 1200})
			if tt.packets[0].ms > 0 {
				h.observe(1, opened(0, 0, 0))
			}
			h.observe(1, tt.packets...)
			h.advance(10 * time.Second)
			qt.Assert(t, h.outcomes, qt.DeepEquals, tt.want)
			h.advance(30 * time.Second)
			qt.Assert(t, h.Len()+len(h.servers.index), qt.Equals, 0)
		})
	}
}

// Guards against backend servers that are blamed for a pause of this host.
func TestPauseVoidsWaits(t *testing.T) {
	h := newHost(Config{})
	h.observe(1, opened(0, 0, 0), sent(10, 0, 100, 200, 900))
	h.observe(2, opened(20, 1, 0))
	h.now, h.tickAt = 5*time.Second, 5*time.Second+1 // no tick in between
	h.observe(1, sent(0, 0, 200, 200, 1400), sent(5100, 0, 200, 300, 1400), sent(5150, 0, 300, 300, 1900))
	h.advance(10 * time.Second)
	qt.Assert(t, h.outcomes, qt.DeepEquals, []string{"answered i-0 50ms 500"})
}

// Guards against a hash table that loses flows when others are removed, and against
// the eviction of a flow that is in use.
func TestEviction(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := newHost(Config{MaxFlows: 100})
	var byUse []uint16 // ports, the one that was used last at the end
	for n := range 3000 {
		port := uint16(rng.IntN(300))
		h.observe(port, sent(100*n, 0, 1, 1, 1))
		byUse = append(slices.DeleteFunc(byUse, func(p uint16) bool { return p == port }), port)
		tracked, want := portsOf(h.FlowsOf("i-0", 1)), slices.Clone(byUse[max(0, len(byUse)-100):])
		slices.Sort(tracked)
		slices.Sort(want)
		qt.Assert(t, tracked, qt.DeepEquals, want)
	}
}

func portsOf(flows []Flow) (ports []uint16) {
	for _, f := range flows {
		ports = append(ports, f.Caller.Port())
	}
	return ports
}

// resets advances a host and returns the ports of the flows that it resets.
func (h *host) resets(to time.Duration) (ports []uint16) {
	for h.now < to {
		h.advance(h.now + 100*time.Millisecond)
		ports = append(ports, portsOf(h.Resets(h.now))...)
	}
	return ports
}

// Guards against requests lost on flows of a backend server that was replaced, and
// against resets of flows that may still work.
func TestResets(t *testing.T) {
	with := func(status catalog.Status, born int64, epoch uint64) []catalog.Record {
		records := testServers(2)
		records[0].Status, records[0].Born, records[0].Epoch = status, born, epoch
		return records
	}
	tests := []struct {
		name    string
		changes [][]catalog.Record // 100 ms apart
		want    []uint16
	}{
		{"gone", [][]catalog.Record{with(catalog.Gone, 1, 0)}, []uint16{1, 3}},
		{"started again", [][]catalog.Record{with(catalog.Ready, 2, 0)}, []uint16{1}},
		{"clock set back", [][]catalog.Record{with(catalog.Ready, 0, 1)}, []uint16{1}},
		{"removed while gone", [][]catalog.Record{with(catalog.Gone, 1, 0), testServers(2)[1:]}, []uint16{1, 3}},
		{"not gone after all", [][]catalog.Record{with(catalog.Gone, 1, 0), testServers(2)}, nil},
		{"silent", [][]catalog.Record{with(catalog.Silent, 1, 0)}, nil},
		{"draining", [][]catalog.Record{with(catalog.Draining, 1, 0)}, nil},
		{"unknown", [][]catalog.Record{testServers(2)[1:]}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHost(Config{})
			h.observe(1, sent(0, 0, 10, 10, 900))                          // idle
			h.observe(2, sent(0, 1, 10, 10, 900))                          // of another server
			h.observe(3, opened(4900, 0, 0), sent(4950, 0, 10, 10, 900))   // may belong to the later start
			h.observe(5, sent(4960, 0, 10, 10, 900), ended(4990, 10, 900)) // closed
			h.advance(5 * time.Second)
			for _, records := range tt.changes {
				h.SetTable(h.now, testTable(records...))
				qt.Assert(t, h.resets(h.now+100*time.Millisecond), qt.HasLen, 0)
			}
			qt.Assert(t, h.resets(5200*time.Millisecond), qt.HasLen, 0)
			if r := h.steering.Server(steering.TokenOf("i-0")); r != nil && r.Status != catalog.Gone {
				h.observe(4, sent(5200, 0, 10, 10, 900)) // of the later start, if there is one
			}
			qt.Assert(t, h.resets(10*time.Second), qt.DeepEquals, tt.want)
		})
	}
}

// Guards against the reset of a flow to a later start whose caller used the ports of an
// earlier flow, if this host saw neither the end of that one nor the opening packet.
func TestResetsSpareReusedPorts(t *testing.T) {
	for server, numbers := range [][2]uint32{{1 << 24, 900}, {10, 900}} {
		h := newHost(Config{})
		h.observe(1, sent(0, 0, 10, 10, 900), sent(4900, server, numbers[0], numbers[0], numbers[1]))
		h.advance(5 * time.Second)
		records := testServers(2)
		records[server].Born = 2
		h.SetTable(h.now, testTable(records...))
		qt.Check(t, h.resets(10*time.Second), qt.HasLen, 0, qt.Commentf("server %d", server))
	}
}

// Guards against a burst of resets that fills the link of the host.
func TestResetRate(t *testing.T) {
	h := newHost(Config{})
	for port := range uint16(1000) {
		h.observe(port, sent(0, 0, 10, 10, 900))
	}
	gone := testServers(1)
	gone[0].Status = catalog.Gone
	h.SetTable(0, testTable(gone...))
	for second, total := 1, 0; total < 1000; second++ {
		n := len(h.resets(time.Duration(second) * time.Second))
		qt.Assert(t, n > 0 && n <= 200, qt.IsTrue, qt.Commentf("%d in second %d", n, second))
		total += n
	}
}

// Guards against garbage for each packet of an open flow.
func TestObserveDoesNotAllocate(t *testing.T) {
	h := newHost(Config{})
	d := steering.Decision{Server: h.steering.Server(steering.TokenOf("i-0"))}
	p := steering.Packet{Caller: netip.MustParseAddrPort("100.64.0.1:1"), Route: testRoute, Token: d.Server.Token}
	qt.Assert(t, testing.AllocsPerRun(1000, func() {
		for _, data := range []int{0, 100, 0} { // a request and its answer
			p.Sequence, p.Data, p.Ack = p.Sequence+uint32(p.Data), data, p.Ack+500
			h.Observe(h.now, p, d)
		}
		h.Tick(h.now)
	}), qt.Equals, 0.0)
}

// Guards against a backend server that never answers and is found only after the longest
// timeout, and against answers near the target that count as none.
func TestRequestTimeout(t *testing.T) {
	tests := []struct {
		timeout, aim uint32 // milliseconds
		want         time.Duration
	}{
		{10_000, 0, 2 * time.Second},
		{1000, 0, time.Second},
		{10_000, 500, time.Second},
		{10_000, 100, 700 * time.Millisecond},
		{10_000, 5000, 2 * time.Second},
		{600, 500, 600 * time.Millisecond},
	}
	for _, tt := range tests {
		targets := []document.Target{{Service: "orders", Weight: 1}}
		h := newHost(Config{})
		h.SetTable(0, steering.Build(&document.Document{Version: 1, Routes: []document.Route{{Address: testRoute, Timeout: tt.timeout, Aim: tt.aim, Targets: targets}}}, testServers(2)))
		key, _ := keyOf(netip.MustParseAddrPort("100.64.0.1:1"), testRoute)
		qt.Check(t, h.requestTimeout(&flow{key: key}), qt.Equals, tt.want, qt.Commentf("timeout %d ms, target %d ms", tt.timeout, tt.aim))
	}
}
