package steering

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
)

// The load of one availability zone with three slots a backend server: callers
// that send many requests on a long flow, orders with a flow each, and twice a
// burst.
const (
	loadHosts     = 7
	loadServers   = 5
	loadSlots     = 3
	loadQueue     = 8 // requests that wait at a backend server; more are refused there
	loadUsers     = 100
	loadWork      = 55 * time.Millisecond
	loadAim       = 250 * time.Millisecond
	loadThink     = time.Second // mean pause of a user between requests
	loadOrders    = 28.0        // a second
	loadLength    = 60 * time.Second
	loadFlowMean  = 15 // requests on a long flow
	burstEvery    = 30 * time.Second
	burstFrom     = 10 * time.Second
	burstUntil    = 16 * time.Second
	loadSeeds     = 20
	workDeviation = 0.5
)

// policy places a flow that comes to an entry host.
type policy interface {
	place(now time.Duration, host, flow int) int
	request(now time.Duration, host, flow, server int, last bool)
}

// randomPolicy knows nothing.
type randomPolicy struct{ rng *rand.Rand }

func (p randomPolicy) place(time.Duration, int, int) int        { return p.rng.IntN(loadServers) }
func (randomPolicy) request(time.Duration, int, int, int, bool) {}

// turnsPolicy is the steerer: the backend server that the host used longest ago.
type turnsPolicy struct{ hosts [loadHosts]*Steerer }

func newTurnsPolicy(t *testing.T) *turnsPolicy {
	var records []catalog.Record
	for n := range loadServers {
		records = append(records, backend(fmt.Sprintf("x%d", n), "orders", "a", catalog.Ready))
	}
	p := &turnsPolicy{}
	for h := range p.hosts {
		p.hosts[h] = steererOf(t, records...)
	}
	return p
}

func (p *turnsPolicy) place(now time.Duration, host, flow int) int {
	var n int
	_, _ = fmt.Sscanf(p.hosts[host].Decide(now, syn(flow, orders, 0)).Server.ID, "x%d", &n)
	return n
}

func (*turnsPolicy) request(time.Duration, int, int, int, bool) {}

// fewestPolicy takes the backend server with the fewest flows that the host
// itself sees, of those the one that it used longest ago.
type fewestPolicy struct {
	flows [loadHosts][loadServers]int
	used  [loadHosts][loadServers]time.Duration
}

func (p *fewestPolicy) place(now time.Duration, host, _ int) int {
	best := 0
	for n := range loadServers {
		fewer := p.flows[host][n] < p.flows[host][best]
		older := p.flows[host][n] == p.flows[host][best] && p.used[host][n] < p.used[host][best]
		if fewer || older {
			best = n
		}
	}
	p.flows[host][best]++
	p.used[host][best] = now
	return best
}

func (p *fewestPolicy) request(_ time.Duration, host, _, server int, last bool) {
	if last {
		p.flows[host][server]--
	}
}

// loadEvent is something that happens at a time.
type loadEvent struct {
	at time.Duration
	do func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int           { return len(h) }
func (h loadEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h loadEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)        { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadWorld plays the load under one policy.
type loadWorld struct {
	now     time.Duration
	events  loadEvents
	rng     *rand.Rand
	policy  policy
	burst   float64 // as many requests in a burst
	flows   int
	busy    [loadServers]int
	waiting [loadServers][]func() // start the request
	asked   int
	inAim   int
	refused int
}

func (w *loadWorld) after(d time.Duration, do func()) { heap.Push(&w.events, loadEvent{w.now + d, do}) }

func (w *loadWorld) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// pace is how fast callers are now.
func (w *loadWorld) pace() float64 {
	if at := w.now % burstEvery; at >= burstFrom && at < burstUntil {
		return w.burst
	}
	return 1
}

func (w *loadWorld) run() {
	for range loadUsers {
		w.after(w.exponential(loadThink), w.longFlow)
	}
	w.after(0, w.order)
	for w.now < loadLength {
		e := heap.Pop(&w.events).(loadEvent)
		w.now = e.at
		e.do()
	}
}

// order is a request with a flow of its own.
func (w *loadWorld) order() {
	w.flow(1, func() {})
	w.after(time.Duration(float64(w.exponential(time.Second))/loadOrders/w.pace()), w.order)
}

// longFlow is a flow of a user, who then opens the next one.
func (w *loadWorld) longFlow() { w.flow(1+w.rng.IntN(2*loadFlowMean), w.longFlow) }

func (w *loadWorld) flow(requests int, then func()) {
	w.flows++
	flow, host := w.flows%60000, w.rng.IntN(loadHosts)
	server := w.policy.place(w.now, host, flow)
	w.request(host, flow, server, requests, then)
}

func (w *loadWorld) request(host, flow, server, left int, then func()) {
	w.policy.request(w.now, host, flow, server, left == 1)
	began := w.now
	w.asked++
	done := func(answered bool) {
		switch {
		case !answered:
			w.refused++
		case w.now-began <= loadAim:
			w.inAim++
		}
		if left == 1 {
			then()
			return
		}
		pause := time.Duration(float64(w.exponential(loadThink)) / w.pace())
		w.after(pause, func() { w.request(host, flow, server, left-1, then) })
	}
	w.arrive(server, done)
}

// arrive is the backend server.
func (w *loadWorld) arrive(server int, done func(bool)) {
	start := func() {
		work := time.Duration(float64(loadWork) * math.Exp(w.rng.NormFloat64()*workDeviation-workDeviation*workDeviation/2))
		w.after(work, func() {
			w.busy[server]--
			if len(w.waiting[server]) > 0 {
				next := w.waiting[server][0]
				w.waiting[server] = w.waiting[server][1:]
				w.busy[server]++
				next()
			}
			done(true)
		})
	}
	switch {
	case w.busy[server] < loadSlots:
		w.busy[server]++
		start()
	case len(w.waiting[server]) < loadQueue:
		w.waiting[server] = append(w.waiting[server], start)
	default:
		done(false)
	}
}

// In turn serves callers better than at random. Fewest flows by own counts gains
// little more, since each host sees a small part of the flows, and needs a look-up
// for each packet.
func TestPlacingUnderLoad(t *testing.T) {
	for _, burst := range []float64{1.8, 2.6} {
		inAim, refused := map[string]float64{}, map[string]float64{}
		for seed := uint64(1); seed <= loadSeeds; seed++ {
			for name, p := range map[string]policy{
				"random":       randomPolicy{rand.New(rand.NewPCG(seed, 2))},
				"in turn":      newTurnsPolicy(t),
				"fewest flows": &fewestPolicy{},
			} {
				w := &loadWorld{rng: rand.New(rand.NewPCG(seed, 1)), policy: p, burst: burst}
				w.run()
				inAim[name] += float64(w.inAim) / float64(w.asked) / loadSeeds
				refused[name] += float64(w.refused) / float64(w.asked) / loadSeeds
			}
		}
		for name := range inAim {
			t.Logf("burst %.1f, %-13s in time %.4f, refused by backend servers %.4f", burst, name, inAim[name], refused[name])
		}
		c := qt.New(t)
		c.Check(inAim["in turn"] > inAim["random"], qt.IsTrue)
		c.Check(refused["in turn"] < refused["random"], qt.IsTrue)
	}
}
