package steering

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/pace"
)

// The load of TestSharesUnderLoad. Each control host gets the samples of a third of the
// entry hosts. Requests have a long tail, and links lose packets.
const (
	shareHosts, shareControls, shareServers = 27, 3, 30
	shareSlots, shareQueue, maxReported     = 2, 8, 32
	shareTarget                             = 500 * time.Millisecond
	shareFrom, shareUntil                   = 8 * time.Second, 18 * time.Second // requests counted
	shareSeeds                              = 10
)

// shareScenario is what happens from shareFrom on.
type shareScenario struct {
	name     string
	helps    bool  // whether shares must help at the high rate
	replaced []int // backend servers replaced in each second; the fields below are those of the new ones
	n        int   // else, number of backend servers with the fields below
	slower   float64
	failure  float64 // rate of failures
	length   time.Duration
	others   float64 // factor of the service times of all others, if not 0
	alarm    bool    // whether each control host takes one backend server for failing
}

var shareScenarios = []shareScenario{
	{name: "nothing"},
	{name: "(a) ten replaced, cold", helps: true, replaced: []int{5, 5}, slower: 1.6, length: 2 * time.Second},
	{name: "(b) 16% 5 times slower", helps: true, n: 5, slower: 5, length: 6 * time.Second},
	{name: "(c) speeds 0.55 and 1.2", helps: true, n: 8, slower: 1 / 0.55, length: time.Hour, others: 1 / 1.2},
	{name: "(d) 10% fail all", helps: true, n: 3, slower: 1, failure: 1, length: 6 * time.Second},
	{name: "(d) 14% fail 45%", helps: true, n: 4, slower: 1, failure: 0.45, length: 6 * time.Second},
	{name: "(e) thirty return", replaced: []int{30}, slower: 1.6, length: 2 * time.Second},
	{name: "(f) false alarm", alarm: true},
	{name: "(g) returns at half speed", helps: true, replaced: []int{1}, slower: 2, length: time.Hour},
}

// shareServer is a simulated backend server.
type shareServer struct {
	id                    string
	token                 uint32
	usual, slower, failed float64 // factors of its service times, the second one and the failures only until a time
	until                 time.Duration
	busy, requests        int
	waiting               []func()
}

type shareSim struct {
	loadSim
	shareScenario
	rule         string
	rate         float64        // requests a second
	servers, all []*shareServer // present ones, and all
	byToken      map[Token]*shareServer
	hosts        [shareHosts]*Steerer
	flowsOf      [shareHosts]map[*shareServer]int
	samples      [shareHosts][]pace.Sample
	pools        [shareControls]*pace.Pool
	failures     int
	falls        int // shares lowered because of answers
}

// replace replaces the first n backend servers.
func (w *shareSim) replace(n int, slower float64, until time.Duration) {
	list := []pace.Server{}
	for range n {
		if len(w.all) >= shareServers {
			list = append(list, pace.Server{Token: w.servers[0].token, ID: w.servers[0].id, Absent: true})
			w.servers = w.servers[1:]
		}
		id := fmt.Sprintf("x%d", len(w.all))
		s := &shareServer{id: id, token: uint32(TokenOf(id)), usual: 1, slower: slower, until: until}
		w.servers, w.all, w.byToken[Token(s.token)] = append(w.servers, s), append(w.all, s), s
		list = append(list, pace.Server{Token: s.token, ID: id, Service: "orders", Born: 1})
	}
	for c, p := range w.pools {
		w.send(c, p.UpdateServers(w.now, list))
	}
	for _, h := range w.hosts {
		var records []catalog.Record
		for _, i := range w.rng.Perm(len(w.servers)) {
			records = append(records, backend(w.servers[i].id, "orders", "a", catalog.Ready))
		}
		h.SetTable(w.now, Build(testDocument(1), records))
	}
}

func (w *shareSim) send(control int, changes []pace.Change) {
	for _, x := range changes {
		if x.Reason == pace.Slow || x.Reason == pace.Failing {
			w.falls++
		}
		for h := control; h < shareHosts; h += shareControls {
			w.hosts[h].SetShare(Token(x.Token), Share{Born: x.Born, Value: x.Share})
		}
	}
}

func (w *shareSim) tick() {
	for h, list := range w.samples {
		w.pools[h%shareControls].Add(w.now, "a", list[:min(len(list), maxReported)])
		w.samples[h] = nil
	}
	for c, p := range w.pools {
		batch := p.TakeForwarded()
		for other, q := range w.pools {
			if other != c {
				q.AddForwarded(w.now, batch)
			}
		}
	}
	for c, p := range w.pools {
		w.send(c, p.Tick(w.now))
	}
	w.after(pace.TickInterval, w.tick)
}

func (w *shareSim) choose(host int) *shareServer {
	if w.rule != "fewest flows" {
		w.flows++
		return w.byToken[w.hosts[host].Decide(w.now, syn(w.flows%60000, orders, 0)).Server.Token]
	}
	at := w.rng.IntN(len(w.servers))
	best := w.servers[at] // a random one of those with the fewest flows
	for i := range w.servers {
		if s := w.servers[(at+i)%len(w.servers)]; w.flowsOf[host][s] < w.flowsOf[host][best] {
			best = s
		}
	}
	return best
}

// startFlow starts a flow and schedules the next one. 60% of them have one request.
func (w *shareSim) startFlow() {
	const requestsPerFlow = 0.6*1 + 0.4*4
	w.after(time.Duration(w.rng.ExpFloat64()*requestsPerFlow/w.rate*float64(time.Second)), w.startFlow)
	host, requests := w.rng.IntN(shareHosts), 1
	if w.rng.Float64() >= 0.6 {
		requests = 2 + w.rng.IntN(5)
	}
	s := w.choose(host)
	w.flowsOf[host][s]++
	w.request(host, w.rng.IntN(2), s, requests)
}

func (w *shareSim) request(host, route int, s *shareServer, remaining int) {
	began, counted := w.now, 0
	if w.now >= shareFrom && w.now < shareUntil {
		counted = 1
	}
	w.requests += counted
	s.requests += counted
	done := func(failed bool) {
		x := pace.Sample{Token: s.token, Route: uint32(route), Bytes: uint16(400 + w.rng.IntN(600)*(route+1))}
		took := w.now - began + 2*time.Millisecond
		if w.rng.Float64() < 0.025 { // a lost packet
			took += 200 * time.Millisecond
		}
		if failed {
			x.Bytes = 155
		} else if took <= shareTarget {
			w.onTime += counted
		}
		x.LatencyMs = uint16(took.Milliseconds())
		w.samples[host] = append(w.samples[host], x)
		if remaining > 1 {
			w.after(w.exponential(200*time.Millisecond), func() { w.request(host, route, s, remaining-1) })
			return
		}
		w.flowsOf[host][s]--
	}
	start := func() {
		s.busy++
		took, failed := s.usual*math.Exp(w.rng.NormFloat64()*0.3), false
		if w.now >= shareFrom && w.now < s.until {
			took, failed = took*s.slower, w.rng.Float64() < s.failed
		}
		if w.rng.Float64() < 0.03 {
			took *= 7
		}
		if failed {
			took, w.failures = 0.02, w.failures+counted
		}
		w.after(time.Duration(took*[]float64{55e6, 72e6}[route]), func() {
			s.busy--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			done(failed)
		})
	}
	switch {
	case s.busy < shareSlots:
		start()
	case len(s.waiting) < shareQueue:
		s.waiting = append(s.waiting, start)
	default:
		w.refused += counted
		done(true)
	}
}

// run runs a scenario and returns the requests in time, rejected and failed as
// fractions, the largest load of a backend server relative to the mean, and the number of
// lowered shares.
func (w *shareSim) run(seed uint64) [5]float64 {
	w.rng, w.byToken = rand.New(rand.NewPCG(seed, 1)), map[Token]*shareServer{}
	for h := range w.hosts {
		w.flowsOf[h] = map[*shareServer]int{}
		w.hosts[h] = New(Config{Zone: "a", Shares: w.rule == "shares", Random: rand.NewPCG(seed, uint64(2+h))})
	}
	for c := range w.pools {
		w.pools[c] = pace.NewPool()
	}
	w.replace(shareServers, 1, 0)
	for i, s := range w.servers {
		if i < w.n {
			s.slower, s.failed, s.until = w.slower, w.failure, shareFrom+w.length
		} else if w.others > 0 {
			s.usual = w.others
		}
	}
	for i, n := range w.replaced {
		w.after(shareFrom+time.Duration(i)*time.Second, func() { w.replace(n, w.slower, w.now+w.length) })
	}
	if w.alarm {
		w.after(shareFrom, func() {
			for i := range 120 {
				w.pools[i%shareControls].Add(w.now, "a", []pace.Sample{{Token: w.all[0].token, Kind: pace.Unanswered}})
			}
		})
	}
	w.startFlow()
	w.tick()
	for w.now < shareUntil+2*time.Second {
		e := heap.Pop(&w.events).(loadEvent)
		w.now = e.at
		e.fn()
	}
	n, largest := float64(w.requests), 0
	for _, s := range w.all {
		largest = max(largest, s.requests)
	}
	return [5]float64{float64(w.onTime) / n, float64(w.refused) / n, float64(w.failures) / n, float64(largest) / n * shareServers, float64(w.falls)}
}

// Guards against shares that make the load worse than the rule without them, and
// against false alarms where nothing happens.
func TestSharesUnderLoad(t *testing.T) {
	rules := []string{"least recently used", "fewest flows", "shares"}
	for _, rate := range []float64{100, 450} {
		for _, scenario := range shareScenarios {
			var mean [3][5]float64
			var wg sync.WaitGroup
			for r, rule := range rules {
				wg.Go(func() {
					for seed := range uint64(shareSeeds) {
						for i, x := range (&shareSim{shareScenario: scenario, rule: rule, rate: rate}).run(seed) {
							mean[r][i] += x / shareSeeds
						}
					}
				})
			}
			wg.Wait()
			for r, m := range mean {
				t.Logf("%3.0f/s %-26s %-20s in time %.4f rejected %.4f failed %.4f largest %.2f falls %.1f", rate, scenario.name, rules[r], m[0], m[1], m[2], m[3], m[4])
			}
			atLeast := -0.0045 // three standard deviations at the low rate
			if rate > 400 && scenario.helps {
				atLeast = 0.01
			}
			qt.Check(t, mean[2][0]-mean[0][0] > atLeast, qt.IsTrue, qt.Commentf("%s at %v/s", scenario.name, rate))
			if rate < 400 && scenario.name == "nothing" {
				qt.Check(t, mean[2][4] <= 0.3, qt.IsTrue, qt.Commentf("%v false alarms a run", mean[2][4]))
			}
		}
	}
}
