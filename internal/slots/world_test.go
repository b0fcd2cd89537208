package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/simtime"
)

// node is a host of a world.
type node struct {
	name  string
	inc   int
	alive bool
	until time.Time // frozen until
	rev   int
	num   int
	core  *Core
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.name, n.inc) }

// world drives the cores of several hosts before one backend server, with
// delays, lost messages, crashes, freezes and tables that arrive unevenly.
type world struct {
	simtime.Scheduler
	rand     *rand.Rand
	nodes    []*node
	tables   [][]fence.Member // by revision
	nums     []map[string]int // by revision; a host that returns gets a new one
	params   Params
	running  map[string]struct{} // at the backend server
	most     int
	ran      int
	attempts int
}

func newWorld(seed uint64, hosts int, p Params) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), Scheduler: simtime.Scheduler{Now: time.UnixMicro(1000)}, params: p, running: map[string]struct{}{}}
	var first []fence.Member
	for i := range hosts {
		n := &node{name: fmt.Sprintf("h%d", i), alive: true, inc: 1, rev: 1}
		n.core = New(n.process(), 0)
		w.nodes = append(w.nodes, n)
		first = append(first, fence.Member{Name: n.name, Zone: "z"})
	}
	w.tables = [][]fence.Member{nil, first}
	w.nums = []map[string]int{nil, {}}
	for _, n := range w.nodes {
		w.nums[1][n.name] = 0
	}
	return w
}

// on runs do on a host after a delay, unless the process has ended by then. A
// frozen process runs it when it wakes.
func (w *world) on(n *node, d time.Duration, do func()) {
	inc := n.inc
	w.After(d, func() {
		switch {
		case !n.alive || n.inc != inc:
		case w.Now.Before(n.until):
			w.on(n, n.until.Sub(w.Now), do)
		default:
			do()
		}
	})
}

// send carries a message to a host; some are lost and some are late.
func (w *world) send(to *node, do func()) {
	delay := time.Duration(w.rand.IntN(3000)) * time.Microsecond
	switch w.rand.IntN(40) {
	case 0:
		return
	case 1, 2:
		delay *= 200
	}
	w.on(to, delay, do)
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *world) homeOf(rev int) string {
	home, _ := fence.First("unit", w.tables[rev])
	return home.Name
}

func (w *world) listed(rev int) func(string) bool {
	return func(name string) bool {
		for _, m := range w.tables[rev] {
			if m.Name == name {
				return true
			}
		}
		return false
	}
}

// publish makes a table revision that lists the hosts that are alive and not
// in the drop list. It reaches each host at another time.
func (w *world) publish(drop map[string]bool) {
	var members []fence.Member
	last, nums := w.nums[len(w.nums)-1], map[string]int{}
	for _, n := range w.nodes {
		if n.alive && !drop[n.name] {
			members = append(members, fence.Member{Name: n.name, Zone: "z"})
			num, ok := last[n.name]
			if !ok {
				num = len(w.tables)
			}
			nums[n.name] = num
		}
	}
	w.nums = append(w.nums, nums)
	w.tables = append(w.tables, members)
	rev := len(w.tables) - 1
	for _, n := range w.nodes {
		late := time.Duration(w.rand.IntN(400)) * time.Millisecond
		w.on(n, 0, func() { w.on(n, late, func() { n.rev = max(n.rev, rev) }) })
	}
}

// rejoin tells a host's core if its table shows that it was dropped.
func (w *world) rejoin(n *node) {
	if num, ok := w.nums[n.rev][n.name]; ok && num != n.num {
		n.num = num
		n.core.Rejoin(w.Now)
	}
}

// tend does what a host does at each tick.
func (w *world) tend(n *node) {
	w.on(n, 50*time.Millisecond, func() { w.tend(n) })
	w.rejoin(n)
	if w.homeOf(n.rev) != n.name {
		n.core.Resign()
		return
	}
	if !n.core.Stands() {
		var hosts []string
		for _, m := range w.tables[n.rev] {
			hosts = append(hosts, m.Name)
		}
		n.core.Claim(fence.Epoch(n.rev), 1000, hosts, nil, w.params, w.Now)
	}
	n.core.Listed(w.listed(n.rev), w.Now)
	granted, _ := n.core.Tick(w.Now)
	w.notify(n, granted)
	w.claimAll(n)
}

// claimAll sends the claim to every host, which gathers reports and renews
// the lease.
func (w *world) claimAll(n *node) {
	claim := fence.Mark{Epoch: n.core.Claims(), Home: n.process()}
	if claim.Epoch == 0 {
		return
	}
	asked, acks := w.Now, 0
	rev := n.rev
	for _, m := range w.tables[rev] {
		peer := w.find(m.Name)
		w.send(peer, func() {
			outdated := peer.rev > int(claim.Epoch) && w.homeOf(peer.rev) != n.name
			if outdated || peer.rev < int(claim.Epoch) {
				return
			}
			w.rejoin(peer)
			report, ok := peer.core.Fence(claim, w.Now)
			if !ok {
				known := peer.core.Epoch()
				w.send(n, func() { n.core.Outbid(known) })
				return
			}
			w.send(n, func() {
				n.core.Reported(peer.name, claim.Epoch, report, w.Now)
				if acks++; acks == len(w.tables[rev])/2+1 {
					n.core.Renew(claim.Epoch, asked)
				}
			})
		})
	}
}

// attempt is one attempt of a host.
func (w *world) attempt(n *node) {
	home := w.find(w.homeOf(n.rev))
	if home == nil {
		return
	}
	w.attempts++
	id := fmt.Sprintf("%s-%d", n.process(), w.attempts)
	deadline := w.Now.Add(time.Duration(100+w.rand.IntN(900)) * time.Millisecond)
	w.send(home, func() {
		a := home.core.Acquire(Request{Attempt: id, Holder: n.process(), Remaining: deadline.Sub(w.Now)}, w.Now)
		if a.Verdict == Granted {
			w.send(n, func() { w.start(n, id, a.Claim, deadline) })
		}
	})
	w.on(n, deadline.Sub(w.Now), func() { // a caller that gave up, whether it was granted or not
		if _, running := n.core.running[id]; !running {
			w.release(n, id)
		}
	})
}

func (w *world) notify(home *node, granted []string) {
	claim := fence.Mark{Epoch: home.core.Claims(), Home: home.process()}
	for _, id := range granted {
		holder := home.core.home.held[id]
		for _, n := range w.nodes {
			if n.process() == holder.holder {
				w.send(n, func() { w.start(n, id, claim, holder.until.Add(-CancelGrace)) })
			}
		}
	}
}

func (w *world) start(n *node, id string, claim fence.Mark, deadline time.Time) {
	if !n.core.Start(id, claim, deadline, w.Now) {
		return
	}
	w.ran++
	w.running[id] = struct{}{}
	w.most = max(w.most, len(w.running))
	left := deadline.Sub(w.Now)
	took := time.Duration(w.rand.Int64N(int64(120 * time.Millisecond)))
	if w.rand.IntN(10) == 0 {
		took = left + CancelGrace*9/10 // hangs, and is slow to be cancelled
	}
	w.After(took, func() {
		delete(w.running, id)
		w.on(n, 0, func() {
			n.core.End(id)
			w.release(n, id)
		})
	})
}

func (w *world) release(n *node, id string) {
	name := n.core.Home()
	for _, home := range w.nodes {
		if home.process() == name {
			w.send(home, func() { w.notify(home, home.core.Release(id, w.Now)) })
		}
	}
}

func (w *world) crash(n *node) {
	n.alive = false
}

func (w *world) restart(n *node) {
	n.alive, n.inc, n.rev = true, n.inc+1, 1
	n.core = New(n.process(), w.Now.UnixMicro())
	w.on(n, 0, func() { w.tend(n) })
	w.on(n, time.Duration(w.rand.IntN(200))*time.Millisecond, func() { n.rev = max(n.rev, len(w.tables)-1) })
}
