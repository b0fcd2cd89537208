package conntrack

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
	"unsafe"

	"greengagequay/internal/catalog"
	"greengagequay/internal/steering"
)

// baseline decides about packets of open flows as steering did before this package
// existed: it looks up the token, and the flow among those that were placed recently.
type baseline struct {
	tokens   map[steering.Token]*steering.Server
	openings map[steering.Flow]baselineOpening
}

type baselineOpening struct {
	firstAt, _ time.Duration
	server            *steering.Server
	tried             []string
	answered          bool
}

//go:noinline
func (b *baseline) decide(now time.Duration, p steering.Packet) steering.Decision {
	server := b.tokens[p.Token]
	switch {
	case p.Token == 0 || server == nil:
		return steering.Decision{Verdict: steering.Drop, Reason: steering.UnknownToken}
	case server.Status == catalog.Gone:
		return steering.Decision{Verdict: steering.Refuse, Reason: steering.ServerGone, Server: server}
	}
	return steering.Decision{Verdict: steering.Forward, Reason: steering.ByToken, Server: server, Opened: b.confirm(now, p.Flow())}
}

func (b *baseline) confirm(now time.Duration, f steering.Flow) time.Duration {
	o, ok := b.openings[f]
	if !ok || o.answered {
		return 0
	}
	o.answered = true
	b.openings[f] = o
	return now - o.firstAt
}

// BenchmarkOpenFlow compares the time of a packet of an open flow with that of the
// baseline: with all flows opened long ago, and with some opened in the last 2 s.
func BenchmarkOpenFlow(b *testing.B) {
	for _, flows := range []int{100, 1000, 10_000, 60_000} {
		for _, recent := range []int{0, flows / 10} {
			name := fmt.Sprintf("flows=%d/recent=%d/", flows, recent)
			const servers = 150
			s := steering.New(steering.Config{Zone: "a"})
			s.SetTable(0, steering.Build(testDocument(), testServers(servers)))
			old := baseline{tokens: map[steering.Token]*steering.Server{}, openings: map[steering.Flow]baselineOpening{}}
			for _, r := range testServers(servers) {
				old.tokens[steering.TokenOf(r.ID)] = s.Table().Server(steering.TokenOf(r.ID))
			}
			table := New(Config{Seed: 1, FullData: 1200})
			packets := make([]steering.Packet, flows)
			for i := range packets {
				p := steering.Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40000), Route: testRoute, Opening: true}
				server := s.Table().Server(steering.TokenOf(fmt.Sprintf("i-%d", i%servers)))
				if i < recent {
					server = s.Decide(0, p).Server
					old.openings[p.Flow()] = baselineOpening{server: server, tried: []string{server.ID}}
				}
				p.Opening, p.Token = false, server.Token
				packets[i] = p
				old.decide(0, p)
				table.Observe(0, p, s.Decide(0, p))
			}
			at, ahead := 0, flows/2
			// next returns the packet of the next flow. Requests of 100 bytes and
			// acknowledgements of their answers alternate. Packets change long before
			// they are used, since a copy of what was just written takes longer.
			next := func() *steering.Packet {
				p := &packets[ahead]
				p.Sequence += uint32(p.Data)
				if p.Data == 0 {
					p.Data = 100
				} else {
					p.Data, p.Ack = 0, p.Ack+500
				}
				if ahead++; ahead == flows {
					ahead = 0
				}
				if at++; at == flows {
					at = 0
				}
				return &packets[at]
			}
			b.Run(name+"before", func(b *testing.B) {
				for b.Loop() {
					old.decide(0, *next())
				}
			})
			b.Run(name+"decide", func(b *testing.B) {
				for b.Loop() {
					s.Decide(0, *next())
				}
			})
			b.Run(name+"decide+observe", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p := next()
					table.Observe(0, *p, s.Decide(0, *p))
					if len(table.outcomes) > 1000 {
						table.outcomes = table.outcomes[:0] // as Tick does
					}
				}
			})
		}
	}
}

// BenchmarkMemory reports the bytes of a full table by flow.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		table := New(Config{Seed: 1})
		server := &steering.Server{Record: testServers(1)[0], Token: 1}
		for i := range maxFlows {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40000)
			table.Observe(0, steering.Packet{Caller: caller, Route: testRoute, Token: 1}, steering.Decision{Verdict: steering.Forward, Server: server})
		}
		bytes := cap(table.flows)*int(unsafe.Sizeof(flow{})) + 4*cap(table.index)
		b.ReportMetric(float64(bytes)/float64(table.Len()), "bytes/flow")
	}
}
