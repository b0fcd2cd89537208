package follow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/simtime"
)

var seeds = flag.Int("seeds", 2, "number of seeds")

const (
	linkDelay         = time.Millisecond
	linkLoss          = 0.02
	retransmitTimeout = 200 * time.Millisecond // for a lost TCP segment; doubles with each loss
)

// simulation runs the cores of many hosts in simulated time.
type simulation struct {
	simtime.Scheduler
	rand    *rand.Rand
	hosts   []model.Host
	control []Source
	nodes   map[string]*simNode
}

type simNode struct {
	sim       *simulation
	name      string
	core      *Core
	revision  uint64
	changedAt time.Time // when the revision arrived
	waiting   []func()  // replies to pulls that are held open
	hangs     bool      // accepts pulls but never answers them
	served    int
}

func newSimulation(seed uint64, zones, perZone int) *simulation {
	n := &simulation{Scheduler: simtime.Scheduler{Now: startTime}, rand: rand.New(rand.NewPCG(seed, 1)), control: controlSources(3), nodes: map[string]*simNode{}}
	for z := range zones {
		n.hosts = append(n.hosts, zoneHosts(perZone, fmt.Sprintf("zone-%d", z))...)
	}
	for _, s := range n.control {
		n.nodes[s.Name] = &simNode{sim: n, name: s.Name}
	}
	for _, h := range n.hosts {
		node := &simNode{sim: n, name: h.Name, core: New()}
		node.core.SetSources(Sources(h.Name, n.hosts, n.control))
		n.nodes[h.Name] = node
		n.After(0, node.pull)
	}
	return n
}

// delay returns the time that a message takes over TCP, including retransmissions of
// lost segments.
func (n *simulation) delay() time.Duration {
	d, timeout := linkDelay, retransmitTimeout
	for n.rand.Float64() < linkLoss {
		d += timeout
		timeout *= 2
	}
	return d
}

func (s *simNode) pull() {
	source, wait, ok := s.core.Next(s.sim.Now)
	if !ok || wait > 0 {
		s.sim.After(max(wait, linkDelay), s.pull)
		return
	}
	done := false
	s.sim.After(PullTimeout, func() {
		if !done {
			done = true
			s.core.PullFailed(s.sim.Now, source.Name)
			s.pull()
		}
	})
	after := s.revision
	s.sim.After(s.sim.delay(), func() {
		s.sim.nodes[source.Name].serve(after, func(revision uint64) {
			s.sim.After(s.sim.delay(), func() {
				if done {
					return
				}
				done = true
				s.core.PullAnswered(s.sim.Now, source.Name, 0)
				s.set(revision)
				s.pull()
			})
		})
	})
}

func (s *simNode) serve(after uint64, answer func(uint64)) {
	if s.hangs {
		return
	}
	answered := false
	reply := func() {
		if !answered {
			answered = true
			s.served++
			answer(s.revision)
		}
	}
	if s.revision > after {
		reply()
		return
	}
	s.waiting = append(s.waiting, reply)
	s.sim.After(PullWait, reply)
}

func (s *simNode) set(revision uint64) {
	if revision <= s.revision {
		return
	}
	s.revision, s.changedAt = revision, s.sim.Now
	waiting := s.waiting
	s.waiting = nil
	for _, reply := range waiting {
		reply()
	}
}

// commit sets a revision on the control hosts and returns, in ascending order, how long
// it took to reach each host that does not hang. Hosts that it did not reach count as
// one hour.
func (n *simulation) commit(revision uint64) []time.Duration {
	start := n.Now
	for _, s := range n.control {
		n.After(0, func() { n.nodes[s.Name].set(revision) })
	}
	n.Run(30 * time.Second)
	var delays []time.Duration
	for _, h := range n.hosts {
		node := n.nodes[h.Name]
		if node.hangs {
			continue
		}
		if node.revision < revision {
			delays = append(delays, time.Hour)
			continue
		}
		delays = append(delays, node.changedAt.Sub(start))
	}
	slices.Sort(delays)
	return delays
}

func percentile(sorted []time.Duration, p float64) time.Duration {
	return sorted[int(p*float64(len(sorted)-1))]
}

// TestChangeIsInForceInTime checks that with about 20 hosts, 99% of the deliveries of
// changes take at most 1 s, and that with about 1,400 hosts, all take at most 9 s.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, tc := range []struct {
		zones, perZone int
		percentile     float64
		limit          time.Duration
	}{
		{3, 7, 0.99, time.Second},
		{4, 5, 0.99, time.Second},
		{22, 64, 1, 9 * time.Second},
	} {
		t.Run(fmt.Sprintf("%dx%d", tc.zones, tc.perZone), func(t *testing.T) {
			c := qt.New(t)
			for seed := range *seeds {
				n := newSimulation(uint64(seed), tc.zones, tc.perZone)
				n.Run(10 * time.Second)
				var all []time.Duration
				for revision := uint64(1); revision <= 20; revision++ {
					all = append(all, n.commit(revision)...)
				}
				slices.Sort(all)
				got := percentile(all, tc.percentile)
				t.Logf("seed %d: median %v, 99th percentile %v, max %v", seed, percentile(all, 0.5), percentile(all, 0.99), all[len(all)-1])
				c.Check(got <= tc.limit, qt.IsTrue, qt.Commentf("seed %d: %v", seed, got))
			}
		})
	}
}

// TestHangingHostDelaysNobodyForLong covers a root of the tree that hangs: it accepts
// pulls and never answers them.
func TestHangingHostDelaysNobodyForLong(t *testing.T) {
	c := qt.New(t)
	for seed := range *seeds {
		n := newSimulation(uint64(seed), 3, 64)
		n.Run(10 * time.Second)
		root := zoneMembers(n.hosts[0].Name, n.hosts)[0]
		n.nodes[root.Name].hangs = true
		delays := n.commit(1)
		c.Check(delays[len(delays)-1] <= 9*time.Second, qt.IsTrue, qt.Commentf("seed %d: %v", seed, delays[len(delays)-1]))
	}
}
