package slots

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fence"
	"greengagequay/internal/simtime"
)

var seconds = flag.Int("seconds", 20, "simulated seconds of each run")

// policy is a way to choose a backend server for a request.
type policy string

const (
	random     policy = "each host alone, random"
	leastLocal policy = "each host alone, least connections on local counts"
	oneHome    policy = "one home, two choices over hints"
)

// load describes a run.
type load struct {
	policy          policy
	hosts, servers  int
	slots           int
	share           float64 // of the capacity that is offered
	flood           float64 // of the capacity that one more customer offers
	seconds, window int
	seed            uint64
}

// outcome is what a run measured.
type outcome struct {
	imbalance float64 // max/mean of time-averaged busy slots, mean over windows
	whole     float64 // max/mean over the whole run
	exceeded  int     // requests sent to a server whose slots were all in use
	offered   map[string]int
	ran       map[string]int
	goodput   float64 // busy slots as a share of all
}

// sim is a discrete-event run of one policy: Poisson arrivals at random hosts,
// exponential service times, and cores as homes.
type sim struct {
	simtime.Scheduler
	load
	rand    *rand.Rand
	cores   []*Core
	hints   [][]Load // by host and server
	local   [][]int  // by host and server
	busy    []int
	since   []time.Time
	area    []time.Duration // by server, in the window
	total   []time.Duration
	waiting map[string]func(bool)
	next    int
	outcome
}

const (
	meanService = 50 * time.Millisecond
	hop         = 500 * time.Microsecond
	patience    = time.Second
	simTries    = 4
)

func simulate(l load) outcome {
	s := &sim{load: l, rand: rand.New(rand.NewPCG(l.seed, 3)), Scheduler: simtime.Scheduler{Now: time.Unix(1, 0)}, waiting: map[string]func(bool){}}
	s.offered, s.ran = map[string]int{}, map[string]int{}
	for range l.hosts {
		s.hints = append(s.hints, make([]Load, l.servers))
		s.local = append(s.local, make([]int, l.servers))
	}
	for range l.servers {
		s.cores = append(s.cores, simHome(Params{Slots: l.slots, Queue: 8, MaxHold: time.Minute}, s.Now))
	}
	s.busy, s.since = make([]int, l.servers), make([]time.Time, l.servers)
	s.area, s.total = make([]time.Duration, l.servers), make([]time.Duration, l.servers)
	for i := range s.since {
		s.since[i] = s.Now
	}
	capacity := float64(l.servers*l.slots) / meanService.Seconds()
	for i := range 4 {
		s.arrive(fmt.Sprintf("customer-%d", i), capacity*l.share/4)
	}
	if l.flood > 0 {
		s.arrive("flood", capacity*l.flood)
	}
	for w := 1; w <= l.seconds/l.window; w++ {
		s.After(time.Duration(w*l.window)*time.Second, s.closeWindow)
	}
	s.Run(time.Duration(l.seconds) * time.Second)
	s.imbalance /= float64(l.seconds / l.window)
	var sum time.Duration
	for _, t := range s.total {
		sum += t
	}
	s.whole, s.goodput = maxOverMean(s.total), sum.Seconds()/float64(l.seconds*l.servers*l.slots)
	return s.outcome
}

func simHome(p Params, now time.Time) *Core {
	c := New("h/1", 0)
	c.Claim(1, now.UnixMicro(), []string{"h"}, nil, p, now)
	r, _ := c.Fence(fence.Mark{Epoch: 1, Home: "h/1"}, now)
	c.Reported("h", 1, r, now)
	c.Renew(1, now.Add(24*time.Hour))
	return c
}

func (s *sim) arrive(customer string, rate float64) {
	s.After(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.offered[customer]++
		s.try(s.rand.IntN(s.hosts), customer, s.Now, map[int]bool{})
		s.arrive(customer, rate)
	})
}

func (s *sim) try(host int, customer string, born time.Time, tried map[int]bool) {
	if len(tried) == min(simTries, s.servers) {
		return
	}
	server := s.pick(host, tried)
	tried[server] = true
	if s.policy != oneHome {
		s.send(host, server, func() {})
		s.ran[customer]++
		return
	}
	s.next++
	id := fmt.Sprint(s.next)
	s.After(hop, func() {
		a := s.cores[server].Acquire(Request{Attempt: id, Customer: customer, Holder: "x", Remaining: patience - s.Now.Sub(born)}, s.Now)
		settle := func(granted bool) {
			s.After(hop, func() {
				s.hints[host][server] = a.Load
				if !granted {
					s.try(host, customer, born, tried)
					return
				}
				s.ran[customer]++
				s.send(host, server, func() { s.release(server, id, host) })
			})
		}
		if a.Evicted != "" {
			s.settle(a.Evicted, false)
		}
		switch a.Verdict {
		case Granted:
			settle(true)
		case Queued:
			s.waiting[id] = settle
			s.After(patience, func() { s.settle(id, false); s.cores[server].Tick(s.Now) })
		default:
			settle(false)
		}
	})
}

func (s *sim) settle(id string, granted bool) {
	if settle, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		settle(granted)
	}
}

func (s *sim) release(server int, id string, host int) {
	s.After(hop, func() {
		for _, next := range s.cores[server].Release(id, s.Now) {
			s.settle(next, true)
		}
		s.hints[host][server] = s.cores[server].home.load()
	})
}

func (s *sim) pick(host int, tried map[int]bool) int {
	a, b := s.rand.IntN(s.servers), s.rand.IntN(s.servers)
	switch s.policy {
	case oneHome:
		for tried[a] {
			a = s.rand.IntN(s.servers)
		}
		if b == a || tried[b] {
			return a
		}
		ha, hb := s.hints[host][a], s.hints[host][b]
		if hb.Busy+hb.Queued < ha.Busy+ha.Queued {
			return b
		}
	case leastLocal:
		first := s.rand.IntN(s.servers)
		for i := range s.servers {
			if j := (first + i) % s.servers; s.local[host][j] < s.local[host][a] {
				a = j
			}
		}
	}
	return a
}

func (s *sim) send(host, server int, done func()) {
	s.local[host][server]++
	s.After(hop, func() {
		if s.busy[server] >= s.slots {
			s.exceeded++
		}
		s.change(server, 1)
		s.After(time.Duration(s.rand.ExpFloat64()*float64(meanService)), func() {
			s.change(server, -1)
			s.After(hop, func() { s.local[host][server]--; done() })
		})
	})
}

// change accounts the time for which slots were in use. More requests than
// slots keep all slots busy.
func (s *sim) change(server, by int) {
	s.account(server)
	s.busy[server] += by
}

func (s *sim) account(server int) {
	t := s.Now.Sub(s.since[server]) * time.Duration(min(s.busy[server], s.slots))
	s.area[server] += t
	s.total[server] += t
	s.since[server] = s.Now
}

func (s *sim) closeWindow() {
	for i := range s.servers {
		s.account(i)
	}
	s.imbalance += maxOverMean(s.area)
	clear(s.area)
}

func maxOverMean(areas []time.Duration) float64 {
	var most, sum time.Duration
	for _, a := range areas {
		most = max(most, a)
		sum += a
	}
	return float64(most) * float64(len(areas)) / float64(sum)
}

func TestImbalanceSideBySide(t *testing.T) {
	c := qt.New(t)
	for _, slots := range []int{3, 2} {
		for _, p := range []policy{random, leastLocal, oneHome} {
			o := simulate(load{policy: p, hosts: 20, servers: 14, slots: slots, share: 0.8, seconds: *seconds, window: 10, seed: 1})
			total, offered := 0, 0
			for customer := range o.offered {
				total, offered = total+o.ran[customer], offered+o.offered[customer]
			}
			t.Logf("14 x %d slots, %-52s max/mean in 10 s windows %.3f, whole run %.3f, slots exceeded %6d of %d, not run %d", slots, p, o.imbalance, o.whole, o.exceeded, offered, offered-total)
			if p == oneHome {
				c.Check(o.imbalance <= 1.10, qt.IsTrue)
				c.Check(o.exceeded, qt.Equals, 0)
			}
		}
	}
}

func TestOneCustomerAtThreeTimesCapacity(t *testing.T) {
	c := qt.New(t)
	alone := simulate(load{policy: oneHome, hosts: 20, servers: 14, slots: 3, share: 0.6, seconds: *seconds, window: 10, seed: 2})
	o := simulate(load{policy: oneHome, hosts: 20, servers: 14, slots: 3, share: 0.6, flood: 3, seconds: *seconds, window: 10, seed: 2})
	for i := range 4 {
		name := fmt.Sprintf("customer-%d", i)
		before := float64(alone.ran[name]) / float64(alone.offered[name])
		after := float64(o.ran[name]) / float64(o.offered[name])
		t.Logf("%s: share that ran %.4f alone, %.4f beside the flood", name, before, after)
		c.Check(after >= 0.95*before, qt.IsTrue)
	}
	t.Logf("busy slots %.4f of capacity, flood ran %d of %d, slots exceeded %d", o.goodput, o.ran["flood"], o.offered["flood"], o.exceeded)
	c.Check(o.goodput >= 0.95, qt.IsTrue)
	c.Check(o.exceeded, qt.Equals, 0)
}
