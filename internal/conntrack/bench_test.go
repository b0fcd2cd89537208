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
	server     *steering.Server
	tried      []string
	answered   bool
}

//go:noinline
func (b *baseline) decide(now time.Duration, p steering.Packet) steering.Decision {
	server := b.tokens[p.Token]
	if p.Token == 0 || server == nil || server.Status == catalog.Gone {
		return steering.Decision{Verdict: steering.Drop, Reason: steering.UnknownToken}
	}
	opened, f := time.Duration(0), p.Flow()
	if o, ok := b.openings[f]; ok && !o.answered {
		o.answered = true
		b.openings[f], opened = o, now-o.firstAt
	}
	return steering.Decision{Verdict: steering.Forward, Reason: steering.ByToken, Server: server, Opened: opened}
}

// BenchmarkOpenFlow compares the time of a packet of an open flow with that of the
// baseline: with all flows opened long ago, and with some opened in the last 2 s.
// Requests of 100 bytes and acknowledgements of their answers alternate.
func BenchmarkOpenFlow(b *testing.B) {
	const servers = 150
	for n := range 8 {
		flows := []int{100, 1000, 10_000, maxFlows}[n/2]
		recent := n % 2 * flows / 10
		s, table := steering.New(steering.Config{Zone: "a"}), New(Config{FullData: 1200})
		s.SetTable(0, testTable(testServers(servers)...))
		old := baseline{map[steering.Token]*steering.Server{}, map[steering.Flow]baselineOpening{}}
		packets := make([]steering.Packet, flows)
		for i := range packets {
			p := steering.Packet{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40000), Route: testRoute, Opening: true}
			server := s.Table().Server(steering.TokenOf(fmt.Sprintf("i-%d", i%servers)))
			old.tokens[server.Token] = server
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
		// next changes a packet long before it is used, since a copy of what was just
		// written takes longer.
		next := func() *steering.Packet {
			p := &packets[ahead]
			p.Sequence += uint32(p.Data)
			if p.Data == 0 {
				p.Data = 100
			} else {
				p.Data, p.Ack = 0, p.Ack+500
			}
			at, ahead = at+1, ahead+1
			if ahead == flows {
				ahead = 0
			}
			if at == flows {
				at = 0
			}
			return &packets[at]
		}
		run := func(name string, handle func(p *steering.Packet)) {
			b.Run(fmt.Sprintf("flows=%d/recent=%d/%s", flows, recent, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					handle(next())
				}
				bytes := cap(table.flows)*int(unsafe.Sizeof(flow{})) + 4*cap(table.index)
				b.ReportMetric(float64(bytes)/float64(table.Len()), "bytes/flow")
			})
		}
		run("before", func(p *steering.Packet) { old.decide(0, *p) })
		run("decide", func(p *steering.Packet) { s.Decide(0, *p) })
		run("decide+observe", func(p *steering.Packet) {
			table.Observe(0, *p, s.Decide(0, *p))
			if len(table.outcomes) > 1000 {
				table.outcomes = table.outcomes[:0] // as Tick does
			}
		})
	}
}
