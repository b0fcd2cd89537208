package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testServers = 30

// testLoad plays answers of testServers backend servers.
type testLoad struct {
	pool   *Pool
	rng    *rand.Rand
	now    time.Duration
	rate   float64 // answers of each backend server a second
	answer func(server int, s *Sample)
	lowest [testServers]uint8 // lowest shares of the last run
}

func newTestLoad(rate float64) *testLoad {
	l := &testLoad{pool: NewPool(), rng: rand.New(rand.NewPCG(1, 2)), rate: rate}
	l.start(1, 0, testServers)
	l.run(8 * time.Second)
	return l
}

func (l *testLoad) start(born int64, from, to int) {
	for n := from; n < to; n++ {
		l.pool.UpdateServers(l.now, []Server{{Token: uint32(n), ID: fmt.Sprint(n), Service: "s", Born: born}})
	}
}

// run plays answers with a long tail and losses, as answer changes them.
func (l *testLoad) run(length time.Duration) {
	for n := range l.lowest {
		l.lowest[n] = FullShare
	}
	for end := l.now + length; l.now < end; l.now += 100 * time.Millisecond {
		for n := range testServers {
			for l.rng.Float64() < l.rate/10/(1+l.rate/10) { // geometric, so that answers come in groups
				s := Sample{Token: uint32(n), Route: uint32(l.rng.IntN(2)), LatencyMs: uint16(45 + l.rng.IntN(30)), Bytes: uint16(400 + l.rng.IntN(2000))}
				if l.rng.Float64() < 0.03 {
					s.LatencyMs *= 7
				}
				if l.rng.Float64() < 0.025 {
					s.LatencyMs += 200
				}
				if l.answer != nil {
					l.answer(n, &s)
				}
				l.pool.Add(l.now, "a", []Sample{s})
			}
		}
		if l.now%TickInterval == 0 {
			for _, c := range l.pool.Tick(l.now) {
				l.lowest[c.Token] = min(l.lowest[c.Token], c.Share)
			}
		}
	}
}

// Guards against backend servers that are slow or failing and not noticed, and against
// others that are taken for them, at any rate and if a third of the service is affected.
func TestVerdicts(t *testing.T) {
	fail := func(s *Sample) { s.LatencyMs, s.Bytes = 2, 155 }
	for _, tt := range []struct {
		name     string
		rate     float64
		affected int
		length   time.Duration
		effect   func(l *testLoad, s *Sample)
		most     uint8 // lowest share that each affected one has at most
	}{
		{"nothing", 1, 0, 10 * time.Minute, nil, 0},
		{"nothing", 3, 0, 10 * time.Minute, nil, 0},
		{"nothing", 30, 0, 2 * time.Minute, nil, 0},
		{"five times slower", 1.5, 5, 6 * time.Second, func(_ *testLoad, s *Sample) { s.LatencyMs *= 5 }, 6},
		{"a third at less than half the speed", 5, 10, 8 * time.Second, func(_ *testLoad, s *Sample) { s.LatencyMs = s.LatencyMs * 22 / 10 }, 9},
		{"a third fails", 3, 10, 6 * time.Second, func(_ *testLoad, s *Sample) { fail(s) }, 1},
		{"14% fail 45%", 5, 4, 8 * time.Second, func(l *testLoad, s *Sample) {
			if l.rng.Float64() < 0.45 {
				fail(s)
			}
		}, 1},
		{"refuses", 2, 2, 6 * time.Second, func(_ *testLoad, s *Sample) { s.Kind, s.Bytes = Refused, 0 }, 1},
	} {
		t.Run(fmt.Sprintf("%s at %v", tt.name, tt.rate), func(t *testing.T) {
			l := newTestLoad(tt.rate)
			l.answer = func(n int, s *Sample) {
				if n < tt.affected {
					tt.effect(l, s)
				}
			}
			l.run(tt.length)
			for n, share := range l.lowest {
				if n < tt.affected {
					qt.Check(t, share <= tt.most, qt.IsTrue, qt.Commentf("server %d: %d", n, share))
				} else {
					qt.Check(t, share, qt.Equals, uint8(FullShare), qt.Commentf("server %d", n))
				}
			}
			l.answer = nil // the affected ones recover
			l.run(15 * time.Second)
			qt.Check(t, l.pool.Service("s").Below, qt.Equals, 0)
		})
	}
}

// Guards against a service whose backend servers are all slow, failing or new, and of
// which only some get flows for that.
func TestWholeServiceKeepsItsShares(t *testing.T) {
	for name, answer := range map[string]func(n int, s *Sample){
		"all slow":      func(_ int, s *Sample) { s.LatencyMs *= 3 },
		"all fail":      func(_ int, s *Sample) { s.Kind = Unanswered },
		"most are slow": func(n int, s *Sample) { s.LatencyMs *= uint16(1 + 2*min(n%5, 1)) },
	} {
		l := newTestLoad(5)
		l.answer = answer
		l.run(10 * time.Second)
		for n, share := range l.lowest {
			qt.Check(t, share, qt.Equals, uint8(FullShare), qt.Commentf("%s: server %d", name, n))
		}
	}
	l := newTestLoad(5)
	l.start(2, 0, testServers) // all start again, one after the other
	l.run(time.Second)
	qt.Check(t, l.pool.Service("s").Below, qt.Equals, 0)
}

// Guards against new backend servers that get a full share at once, or stay below it,
// and against a control host that takes all for new after its own start.
func TestNewServer(t *testing.T) {
	c := qt.New(t)
	l := newTestLoad(0)
	c.Assert(l.pool.Since(0), qt.HasLen, 0)
	l.start(2, 3, 5)
	c.Assert(l.pool.Since(0), qt.DeepEquals, []Level{{Token: 3, Born: 2, Share: newShare}, {Token: 4, Born: 2, Share: newShare}})
	revision := l.pool.Revision()
	l.run(4 * time.Second)
	c.Assert(l.pool.Since(0), qt.HasLen, 0)
	c.Assert(l.pool.Since(revision), qt.HasLen, 2)
}

// BenchmarkPool measures Add for one sample, and Tick, with 5 answers a second of each of
// 10,000 backend servers in 40 services.
func BenchmarkPool(b *testing.B) {
	const n = 10_000
	p, rng := NewPool(), rand.New(rand.NewPCG(1, 2))
	for i := range uint32(n) {
		p.UpdateServers(0, []Server{{Token: i, Service: fmt.Sprint(i % 40)}})
	}
	add := func(now time.Duration) {
		p.Add(now, "a", []Sample{{Token: rng.Uint32N(n), Route: rng.Uint32N(4), LatencyMs: uint16(50 + rng.IntN(30)), Bytes: 900}})
	}
	for i := range 6 * 5 * n {
		add(time.Duration(i) * time.Second / (5 * n))
	}
	b.Run("Add", func(b *testing.B) {
		for b.Loop() {
			add(6 * time.Second)
		}
	})
	b.Run("Tick", func(b *testing.B) {
		for b.Loop() {
			p.Tick(6 * time.Second)
		}
	})
}
