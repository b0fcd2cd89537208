package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
)

const ms = time.Millisecond

// crashed returns a steerer that has seen one sign of a crash of x1 until 200
// ms: an opening packet without an answer, while x2 answers.
func crashed(t *testing.T, retried bool) *Steerer {
	d := settings(1)
	d.Routes[0].Retried = retried
	s := New(Config{Zone: "a", DrainUse: drainUse})
	records := []catalog.Record{backend("x1", "orders", "a", catalog.Ready), backend("x2", "orders", "a", catalog.Ready)}
	s.Use(0, Build(d, records))
	s.Decide(0, syn(1, orders, 0)) // to x1
	s.Decide(0, syn(2, orders, 0)) // to x2
	s.Decide(100*ms, data(2, "x2", 1, 0))
	s.Decide(200*ms, syn(1, orders, 1))
	return s
}

// data returns a packet of an open flow.
func data(caller int, server string, sequence uint32, bytes int) Packet {
	return Packet{Caller: callerOf(caller), Route: orders, Token: TokenOf(server), Sequence: sequence, Data: bytes}
}

// Callers 8 and 9 have open flows to x1. Nothing in these tables is known to
// anyone but by the packets that pass.
func TestUnresponsive(t *testing.T) {
	type step struct {
		at     time.Duration
		packet Packet
	}
	request, repeat := data(9, "x1", 70, 300), data(9, "x1", 70, 300)
	tests := []struct {
		name    string
		retried bool
		steps   []step
		want    string // of the last one
	}{
		{"first data after the crash", true, []step{{210 * ms, request}}, "forward by_token x1"},
		{"data repeated", true, []step{{210 * ms, request}, {410 * ms, repeat}}, "refuse unresponsive x1"},
		{"another flow, once that is known", true, []step{{210 * ms, request}, {410 * ms, repeat}, {411 * ms, data(8, "x1", 5, 300)}}, "refuse unresponsive x1"},
		{"an acknowledgement in between", true, []step{{210 * ms, request}, {300 * ms, data(8, "x1", 5, 0)}, {410 * ms, repeat}}, "forward by_token x1"},
		{"an acknowledgement afterwards", true, []step{{210 * ms, request}, {410 * ms, repeat}, {420 * ms, data(8, "x1", 5, 0)}, {430 * ms, repeat}}, "forward by_token x1"},
		{"a caller gives up in between", true, []step{{210 * ms, request}, {300 * ms, Packet{Caller: callerOf(8), Route: orders, Token: TokenOf("x1"), Reset: true}}, {410 * ms, repeat}}, "refuse unresponsive x1"},
		{"more data, not repeated", true, []step{{210 * ms, request}, {410 * ms, data(9, "x1", 370, 300)}}, "forward by_token x1"},
		{"both were queued at this host", true, []step{{410 * ms, request}, {411 * ms, repeat}}, "forward by_token x1"},
		{"nobody answers this host any more", true, []step{{1210 * ms, request}, {1410 * ms, repeat}}, "forward by_token x1"},
		{"a backend server without suspicion", true, []step{{210 * ms, data(9, "x2", 70, 300)}, {410 * ms, data(9, "x2", 70, 300)}}, "forward by_token x2"},
		{"the suspicion has ended", true, []step{{210 * ms, request}, {200*ms + suspectFor, repeat}}, "forward by_token x1"},
		{"requests that are not retried", false, []step{{210 * ms, request}, {410 * ms, repeat}}, "forward by_token x1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := crashed(t, tt.retried)
			var d Decision
			for _, x := range tt.steps {
				d = s.Decide(x.at, x.packet)
			}
			qt.Assert(t, told(d), qt.Equals, tt.want)
		})
	}
}

// A backend server that starts again under its id answers for itself.
func TestUnresponsiveStartsAgain(t *testing.T) {
	c := qt.New(t)
	s := crashed(t, true)
	s.Decide(210*ms, data(9, "x1", 70, 300))
	c.Assert(s.Decide(410*ms, data(9, "x1", 70, 300)).Reason, qt.Equals, Unresponsive)
	again := backend("x1", "orders", "a", catalog.Ready)
	again.Born++
	s.Use(500*ms, s.Table().WithServers([]catalog.Record{again}))
	c.Assert(told(s.Decide(610*ms, data(9, "x1", 70, 300))), qt.Equals, "forward by_token x1")
}
