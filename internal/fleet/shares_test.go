package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/codec"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
	"greengagequay/internal/pace"
	"greengagequay/internal/steering"
)

// Guards against a new backend server whose record reaches entry hosts before its share,
// followers that miss shares, and samples that do not reach the pool.
func TestSharesReachFollowers(t *testing.T) {
	c := qt.New(t)
	log := eventlog.New(io.Discard, "c1", time.Now)
	defer log.Close(time.Second)
	h := &ControlHost{
		features: Features{Pace: true}, log: log, metrics: metrics.New(), entryHosts: newEntryHosts(), changes: newNotifier(),
		started: time.Now().Add(-time.Minute), catalog: catalog.New(catalog.Config{Interval: time.Second}), shares: sharePool{pool: pace.NewPool()}, zones: newZonePlanner(),
	}
	entryHost := feed.Hello{From: feed.HostInfo{Addr: "e1"}}
	add := func(n int) {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+n))
		h.catalog.ReceiveHeartbeat(h.now(), catalog.Heartbeat{ID: fmt.Sprint("x", n), Service: "s", Zone: "a", Born: 5, Address: address})
	}
	samples := []pace.Sample{}
	for n := range 10 { // x0 fails three times, the others answer
		add(n)
		x := pace.Sample{Token: uint32(steering.TokenOf(fmt.Sprint("x", n))), LatencyMs: 50, Bytes: 900}
		if n == 0 {
			x.Kind = pace.Unanswered
			samples = append(samples, x, x)
		}
		samples = append(samples, x)
	}
	u, cursor, _ := h.Next(entryHost, feed.Cursor{})
	c.Assert(u.Records, qt.HasLen, 10)
	c.Assert(u.Levels, qt.HasLen, 0)
	h.started = h.started.Add(-time.Minute) // the pool takes further ones for new
	add(10)
	add(11)
	u, _, _ = h.Next(entryHost, cursor)
	c.Assert(u.Records, qt.HasLen, 2)
	c.Assert(u.Levels, qt.HasLen, 2)
	u, cursor, _ = h.Next(entryHost, feed.Cursor{})
	c.Assert(u.Levels, qt.HasLen, 2, qt.Commentf("a new follower"))
	h.Reported(entryHost.From, feed.Report{Samples: samples})
	h.current = true
	c.Assert(h.tickShares(), qt.IsTrue)
	peer := feed.Hello{From: feed.HostInfo{Addr: "c2", Control: true}}
	u, _, _ = h.Next(peer, feed.Cursor{Started: true})
	c.Assert(u.Samples, qt.DeepEquals, []pace.ZoneSamples{{Samples: samples[:3]}}, qt.Commentf("those of x0, which failed"))
	peer.From.Zone = "b"
	u, _, _ = h.Next(peer, feed.Cursor{Started: true})
	c.Assert(u.Samples, qt.HasLen, 0)
	u, _, _ = h.Next(entryHost, cursor)
	c.Assert(u.Levels[0], qt.Equals, pace.Level{Token: samples[0].Token, Born: 5, Share: 1})
}

// Guards against a share that stays after its control host is gone, and a higher one
// that hides a lower one.
func TestLowestShareIsInForce(t *testing.T) {
	l, inForce := shareLevels{}, map[steering.Token]uint8{}
	set := func(token steering.Token, s steering.Share) { inForce[token] = s.Value }
	l.receive("c1", []pace.Level{{Token: 1, Born: 5, Share: 4}, {Token: 2, Born: 5, Share: 8}}, set)
	l.receive("c2", []pace.Level{{Token: 1, Born: 5, Share: 6}, {Token: 2, Born: 4, Share: 1}}, set)
	qt.Check(t, inForce, qt.DeepEquals, map[steering.Token]uint8{1: 4, 2: 8})
	l.drop("c1", set)
	qt.Check(t, inForce, qt.DeepEquals, map[steering.Token]uint8{1: 6, 2: 1})
	l.receive("c2", []pace.Level{{Token: 1, Born: 5, Share: pace.FullShare}}, set)
	qt.Check(t, inForce[1], qt.Equals, uint8(pace.FullShare))
}

// BenchmarkShareBytes reports the bytes a second of samples from one entry host, and of
// levels to it, with 7 backend servers a host that give 5 answers a second each. 10 are
// replaced each second; 14% are five times slower for 6 of the 20 s.
func BenchmarkShareBytes(b *testing.B) {
	const seconds, perHost, samplesPerTick = 20, 7, 5 * 7 / 2
	for _, hosts := range []int{30, 100, 300, 1400} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				pool, rng, sent, received, peak := pace.NewPool(), rand.New(rand.NewPCG(1, 2)), 0, 0, 0
				start := func(now time.Duration, n, born int) {
					pool.UpdateServers(now, []pace.Server{{Token: uint32(n) * 429_001, ID: fmt.Sprint(n), Service: fmt.Sprint("s", n%30), Born: 1_780_000_000_000 + int64(born)}})
				}
				for n := range hosts * perHost {
					start(0, n, 0)
				}
				for tick := range 2 * seconds {
					now, before := time.Duration(tick)*pace.TickInterval, pool.Revision()
					for range hosts {
						r := feed.Report{Samples: make([]pace.Sample, samplesPerTick)}
						for i := range r.Samples {
							n := rng.IntN(hosts * perHost)
							r.Samples[i] = pace.Sample{Token: uint32(n) * 429_001, Route: 4e9, LatencyMs: uint16(50 + rng.IntN(20)), Bytes: uint16(400 + rng.IntN(2000))}
							if n%7 == 0 && tick >= 20 && tick < 32 {
								r.Samples[i].LatencyMs *= 5
							}
						}
						pool.Add(now, "a", r.Samples)
						data, _ := codec.Marshal(r)
						sent += len(data)
					}
					for i := range 5 {
						start(now, (tick*5+i)*7%(hosts*perHost), 1+tick)
					}
					pool.Tick(now)
					data, _ := codec.Marshal(feed.Update{Synced: true, Levels: pool.Since(max(before, 1))})
					received, peak = received+len(data), max(peak, len(data))
				}
				b.ReportMetric(float64(sent)/float64(hosts*seconds), "samples_B/s")
				b.ReportMetric(float64(received)/seconds, "levels_B/s")
				b.ReportMetric(float64(peak), "largest_update_B")
			}
		})
	}
}
