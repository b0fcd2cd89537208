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

var seconds = flag.Int("seconds", 20, "simulated duration of each run in seconds")

// policy is a way to choose a backend server for a request.
type policy string

const (
	random     policy = "each host alone, random"
	leastLocal policy = "each host alone, least connections on local counts"
	oneHome    policy = "one home, two choices over hints"
)

// load holds the parameters of a simulation run.
type load struct {
	policy          policy
	hosts, servers  int
	slots           int
	offeredShare    float64 // offered load of four customers, as a share of the capacity
	floodShare      float64 // offered load of a further customer, as a share of the capacity
	seconds, window int
	seed            uint64
}

// outcome holds the measurements of a run.
type outcome struct {
	imbalance   float64 // max/mean over servers of time-averaged busy slots, averaged over windows
	wholeRun    float64 // max/mean over servers of time-averaged busy slots, over the whole run
	exceeded    int     // requests that reached a server with all slots in use
	offered     map[string]int
	ran         map[string]int
	utilization float64 // busy slots as a share of all slots
}

// sim is a discrete-event simulation of one policy: Poisson arrivals at random
// hosts, exponential service times, and one core per server as its home.
type sim struct {
	simtime.Scheduler
	load
	rand           *rand.Rand
	cores          []*Core
	hints          [][]Load // last known load, by host and server
	localInFlight  [][]int  // requests that the host has sent and that have not ended, by host and server
	busy           []int
	accountedUntil []time.Time
	windowBusyTime []time.Duration // by server, in the current window
	totalBusyTime  []time.Duration
	waiting        map[string]func(bool) // by queued attempt; each function receives whether a slot was granted
	lastAttempt    int
	outcome
}

const (
	meanService    = 50 * time.Millisecond
	networkDelay   = 500 * time.Microsecond
	requestTimeout = time.Second
	maxSimAttempts = 4
)

func simulate(l load) outcome {
	s := &sim{load: l, rand: rand.New(rand.NewPCG(l.seed, 3)), Scheduler: simtime.Scheduler{Now: time.Unix(1, 0)}, waiting: map[string]func(bool){}}
	s.offered, s.ran = map[string]int{}, map[string]int{}
	for range l.hosts {
		s.hints = append(s.hints, make([]Load, l.servers))
		s.localInFlight = append(s.localInFlight, make([]int, l.servers))
	}
	for range l.servers {
		s.cores = append(s.cores, simHome(Params{Slots: l.slots, Queue: 8, MaxHold: time.Minute}, s.Now))
	}
	s.busy, s.accountedUntil = make([]int, l.servers), make([]time.Time, l.servers)
	s.windowBusyTime, s.totalBusyTime = make([]time.Duration, l.servers), make([]time.Duration, l.servers)
	for i := range s.accountedUntil {
		s.accountedUntil[i] = s.Now
	}
	capacity := float64(l.servers*l.slots) / meanService.Seconds()
	for i := range 4 {
		s.arrive(fmt.Sprintf("customer-%d", i), capacity*l.offeredShare/4)
	}
	if l.floodShare > 0 {
		s.arrive("flood", capacity*l.floodShare)
	}
	for w := 1; w <= l.seconds/l.window; w++ {
		s.After(time.Duration(w*l.window)*time.Second, s.closeWindow)
	}
	s.Run(time.Duration(l.seconds) * time.Second)
	s.imbalance /= float64(l.seconds / l.window)
	var sum time.Duration
	for _, t := range s.totalBusyTime {
		sum += t
	}
	s.wholeRun, s.utilization = maxOverMean(s.totalBusyTime), sum.Seconds()/float64(l.seconds*l.servers*l.slots)
	return s.outcome
}

func simHome(p Params, now time.Time) *Core {
	c := New("h/1", 0)
	c.Claim(1, now.UnixMicro(), []string{"h"}, nil, p, now)
	r, _ := c.Fence(fence.Mark{Epoch: 1, Home: "h/1"}, now)
	c.AddReport("h", 1, r, now)
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
	if len(tried) == min(maxSimAttempts, s.servers) {
		return
	}
	server := s.pick(host, tried)
	tried[server] = true
	if s.policy != oneHome {
		s.send(host, server, func() {})
		s.ran[customer]++
		return
	}
	s.lastAttempt++
	id := fmt.Sprint(s.lastAttempt)
	s.After(networkDelay, func() {
		a := s.cores[server].Acquire(Request{Attempt: id, Customer: customer, Holder: "x", Remaining: requestTimeout - s.Now.Sub(born)}, s.Now)
		settle := func(granted bool) {
			s.After(networkDelay, func() {
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
			s.After(requestTimeout, func() { s.settle(id, false); s.cores[server].Tick(s.Now) })
		default:
			settle(false)
		}
	})
}

// settle reports to the host of a queued attempt whether it was granted a slot.
func (s *sim) settle(id string, granted bool) {
	if settle, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		settle(granted)
	}
}

func (s *sim) release(server int, id string, host int) {
	s.After(networkDelay, func() {
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
			if j := (first + i) % s.servers; s.localInFlight[host][j] < s.localInFlight[host][a] {
				a = j
			}
		}
	}
	return a
}

func (s *sim) send(host, server int, done func()) {
	s.localInFlight[host][server]++
	s.After(networkDelay, func() {
		if s.busy[server] >= s.slots {
			s.exceeded++
		}
		s.change(server, 1)
		s.After(time.Duration(s.rand.ExpFloat64()*float64(meanService)), func() {
			s.change(server, -1)
			s.After(networkDelay, func() { s.localInFlight[host][server]--; done() })
		})
	})
}

// change adds by to the number of requests at a server.
func (s *sim) change(server, by int) {
	s.account(server)
	s.busy[server] += by
}

// account adds the busy time of a server's slots since the last call. Requests
// beyond the number of slots do not count.
func (s *sim) account(server int) {
	t := s.Now.Sub(s.accountedUntil[server]) * time.Duration(min(s.busy[server], s.slots))
	s.windowBusyTime[server] += t
	s.totalBusyTime[server] += t
	s.accountedUntil[server] = s.Now
}

func (s *sim) closeWindow() {
	for i := range s.servers {
		s.account(i)
	}
	s.imbalance += maxOverMean(s.windowBusyTime)
	clear(s.windowBusyTime)
}

func maxOverMean(times []time.Duration) float64 {
	var most, sum time.Duration
	for _, t := range times {
		most = max(most, t)
		sum += t
	}
	return float64(most) * float64(len(times)) / float64(sum)
}

func TestImbalanceOfEachPolicy(t *testing.T) {
	c := qt.New(t)
	for _, slots := range []int{3, 2} {
		for _, p := range []policy{random, leastLocal, oneHome} {
			o := simulate(load{policy: p, hosts: 20, servers: 14, slots: slots, offeredShare: 0.8, seconds: *seconds, window: 10, seed: 1})
			total, offered := 0, 0
			for customer := range o.offered {
				total, offered = total+o.ran[customer], offered+o.offered[customer]
			}
			t.Logf("14 x %d slots, %-52s max/mean in 10 s windows %.3f, over the whole run %.3f, slots exceeded %6d of %d, not run %d", slots, p, o.imbalance, o.wholeRun, o.exceeded, offered, offered-total)
			if p == oneHome {
				c.Check(o.imbalance <= 1.10, qt.IsTrue)
				c.Check(o.exceeded, qt.Equals, 0)
			}
		}
	}
}

func TestOneCustomerAtThreeTimesCapacity(t *testing.T) {
	c := qt.New(t)
	alone := simulate(load{policy: oneHome, hosts: 20, servers: 14, slots: 3, offeredShare: 0.6, seconds: *seconds, window: 10, seed: 2})
	o := simulate(load{policy: oneHome, hosts: 20, servers: 14, slots: 3, offeredShare: 0.6, floodShare: 3, seconds: *seconds, window: 10, seed: 2})
	for i := range 4 {
		name := fmt.Sprintf("customer-%d", i)
		before := float64(alone.ran[name]) / float64(alone.offered[name])
		after := float64(o.ran[name]) / float64(o.offered[name])
		t.Logf("%s: share that ran: %.4f without the flood, %.4f with it", name, before, after)
		c.Check(after >= 0.95*before, qt.IsTrue)
	}
	t.Logf("busy slots %.4f of capacity, flood ran %d of %d, slots exceeded %d", o.utilization, o.ran["flood"], o.offered["flood"], o.exceeded)
	c.Check(o.utilization >= 0.95, qt.IsTrue)
	c.Check(o.exceeded, qt.Equals, 0)
}
