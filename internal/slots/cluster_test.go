package slots

import (
	"fmt"
	"math/rand/v2"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/simtime"
)

// node is a simulated host.
type node struct {
	name        string
	incarnation int
	alive       bool
	frozenUntil time.Time
	revision    int // revision of the host's table
	generation  int // the host's generation according to its table
	core        *Core
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

// cluster simulates the hosts of one backend server, with delayed and lost
// messages, crashes, freezes and tables that reach the hosts at different times.
type cluster struct {
	simtime.Scheduler
	rand        *rand.Rand
	nodes       []*node
	tables      [][]fence.Member // by revision
	generations []map[string]int // by revision and host; a host that is listed again gets a new one
	params      Params
	running     map[string]struct{} // attempts at the backend server
	maxRunning  int                 // most attempts at the backend server at once
	started     int                 // attempts sent to the backend server
	attempts    int                 // number of attempts, used in their ids
}

func newCluster(seed uint64, hosts int, p Params) *cluster {
	w := &cluster{rand: rand.New(rand.NewPCG(seed, 1)), Scheduler: simtime.Scheduler{Now: time.UnixMicro(1000)}, params: p, running: map[string]struct{}{}}
	var members []fence.Member
	for i := range hosts {
		n := &node{name: fmt.Sprintf("h%d", i), alive: true, incarnation: 1, revision: 1}
		n.core = New(n.process(), 0)
		w.nodes = append(w.nodes, n)
		members = append(members, fence.Member{Name: n.name, Zone: "z"})
	}
	w.tables = [][]fence.Member{nil, members}
	w.generations = []map[string]int{nil, {}}
	for _, n := range w.nodes {
		w.generations[1][n.name] = 0
	}
	return w
}

// runOn runs fn on a host after a delay, unless the process has ended by then. A
// frozen process runs it when it resumes.
func (w *cluster) runOn(n *node, d time.Duration, fn func()) {
	incarnation := n.incarnation
	w.After(d, func() {
		switch {
		case !n.alive || n.incarnation != incarnation:
		case w.Now.Before(n.frozenUntil):
			w.runOn(n, n.frozenUntil.Sub(w.Now), fn)
		default:
			fn()
		}
	})
}

// send delivers a message to a host. Some messages are lost, some arrive late.
func (w *cluster) send(to *node, fn func()) {
	delay := time.Duration(w.rand.IntN(3000)) * time.Microsecond
	switch w.rand.IntN(40) {
	case 0:
		return
	case 1, 2:
		delay *= 200
	}
	w.runOn(to, delay, fn)
}

func (w *cluster) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (w *cluster) homeOf(revision int) string {
	home, _ := fence.PreferredHome("unit", w.tables[revision])
	return home.Name
}

func (w *cluster) listed(revision int) func(string) bool {
	return func(name string) bool {
		for _, m := range w.tables[revision] {
			if m.Name == name {
				return true
			}
		}
		return false
	}
}

// publish creates a table revision with the hosts that are alive and not in
// drop. Each host receives the revision after a random delay.
func (w *cluster) publish(drop map[string]bool) {
	var members []fence.Member
	last, generations := w.generations[len(w.generations)-1], map[string]int{}
	for _, n := range w.nodes {
		if n.alive && !drop[n.name] {
			members = append(members, fence.Member{Name: n.name, Zone: "z"})
			generation, ok := last[n.name]
			if !ok {
				generation = len(w.tables)
			}
			generations[n.name] = generation
		}
	}
	w.generations = append(w.generations, generations)
	w.tables = append(w.tables, members)
	revision := len(w.tables) - 1
	for _, n := range w.nodes {
		delay := time.Duration(w.rand.IntN(400)) * time.Millisecond
		w.runOn(n, 0, func() { w.runOn(n, delay, func() { n.revision = max(n.revision, revision) }) })
	}
}

// rejoin calls Rejoin on a host's core if the table shows that the host was
// dropped in between.
func (w *cluster) rejoin(n *node) {
	if generation, ok := w.generations[n.revision][n.name]; ok && generation != n.generation {
		n.generation = generation
		n.core.Rejoin(w.Now)
	}
}

// tick runs a host's periodic work and schedules the next run.
func (w *cluster) tick(n *node) {
	w.runOn(n, 50*time.Millisecond, func() { w.tick(n) })
	w.rejoin(n)
	if w.homeOf(n.revision) != n.name {
		n.core.Resign()
		return
	}
	if !n.core.HasCurrentClaim() {
		var hosts []string
		for _, m := range w.tables[n.revision] {
			hosts = append(hosts, m.Name)
		}
		n.core.Claim(fence.Epoch(n.revision), 1000, hosts, nil, w.params, w.Now)
	}
	n.core.UpdateListed(w.listed(n.revision), w.Now)
	granted, _ := n.core.Tick(w.Now)
	w.notify(n, granted)
	w.claimAll(n)
}

// claimAll sends the claim to every host in the table, to gather reports and to
// renew the lease.
func (w *cluster) claimAll(n *node) {
	claim := fence.Mark{Epoch: n.core.ClaimEpoch(), Home: n.process()}
	if claim.Epoch == 0 {
		return
	}
	sentAt, acks := w.Now, 0
	revision := n.revision
	for _, m := range w.tables[revision] {
		peer := w.find(m.Name)
		w.send(peer, func() {
			outdated := peer.revision > int(claim.Epoch) && w.homeOf(peer.revision) != n.name
			if outdated || peer.revision < int(claim.Epoch) {
				return // a table older than the claim may not show that the peer was dropped
			}
			w.rejoin(peer)
			report, ok := peer.core.Fence(claim, w.Now)
			if !ok {
				known := peer.core.Epoch()
				w.send(n, func() { n.core.ClaimRefused(known) })
				return
			}
			w.send(n, func() {
				n.core.AddReport(peer.name, claim.Epoch, report, w.Now)
				if acks++; acks == len(w.tables[revision])/2+1 {
					n.core.Renew(claim.Epoch, sentAt)
				}
			})
		})
	}
}

// attempt requests a slot for a new attempt of a host.
func (w *cluster) attempt(n *node) {
	home := w.find(w.homeOf(n.revision))
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
	w.runOn(n, deadline.Sub(w.Now), func() { // the caller gives up at the deadline, whether or not a slot was granted
		if _, running := n.core.running[id]; !running {
			w.release(n, id)
		}
	})
}

func (w *cluster) notify(home *node, granted []string) {
	claim := fence.Mark{Epoch: home.core.ClaimEpoch(), Home: home.process()}
	for _, id := range granted {
		slot := home.core.home.held[id]
		for _, n := range w.nodes {
			if n.process() == slot.holder {
				w.send(n, func() { w.start(n, id, claim, slot.until.Add(-CancelGrace)) })
			}
		}
	}
}

func (w *cluster) start(n *node, id string, claim fence.Mark, deadline time.Time) {
	if !n.core.Start(id, claim, deadline, w.Now) {
		return
	}
	w.started++
	w.running[id] = struct{}{}
	w.maxRunning = max(w.maxRunning, len(w.running))
	remaining := deadline.Sub(w.Now)
	duration := time.Duration(w.rand.Int64N(int64(120 * time.Millisecond)))
	if w.rand.IntN(10) == 0 {
		duration = remaining + CancelGrace*9/10 // hangs until the deadline, then takes long to be cancelled
	}
	w.After(duration, func() {
		delete(w.running, id)
		w.runOn(n, 0, func() {
			n.core.End(id)
			w.release(n, id)
		})
	})
}

func (w *cluster) release(n *node, id string) {
	name := n.core.Home()
	for _, home := range w.nodes {
		if home.process() == name {
			w.send(home, func() { w.notify(home, home.core.Release(id, w.Now)) })
		}
	}
}

func (w *cluster) crash(n *node) {
	n.alive = false
}

func (w *cluster) restart(n *node) {
	n.alive, n.incarnation, n.revision = true, n.incarnation+1, 1
	n.core = New(n.process(), w.Now.UnixMicro())
	w.runOn(n, 0, func() { w.tick(n) })
	w.runOn(n, time.Duration(w.rand.IntN(200))*time.Millisecond, func() { n.revision = max(n.revision, len(w.tables)-1) })
}
