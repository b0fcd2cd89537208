package oncekey

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/simtime"
)

// node is an entry host. A cut node reaches only other cut nodes, and gets no
// tables.
type node struct {
	name, zone string
	inc        int
	alive, cut bool
	until      time.Time // frozen until
	rev, num   int
	core       *Core
	pair       string // home and backup that the claim was made for
	backup     string // of the claim
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.name, n.inc) }

// member is a process in a table.
type member struct {
	name, zone, process string
	num                 int // differs after each return to the table
}

// world drives the cores of several hosts for one shard.
type world struct {
	simtime.Scheduler
	rand     *rand.Rand
	nodes    []*node
	tables   [][]member
	runs     map[string]int  // by key, at the backend server
	ran      map[string]bool // by attempt
	refused  map[string]bool // attempts reported as not run
	wrong    int             // answers of another key
	outcomes map[string]int
	attempts int
	timed    bool // callers state when they made a key
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 2)), Scheduler: simtime.Scheduler{Now: time.Unix(1000, 0)}, timed: true,
		runs: map[string]int{}, ran: map[string]bool{}, refused: map[string]bool{}, outcomes: map[string]int{}, tables: [][]member{nil}}
	for i := range hosts {
		n := &node{name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%3), inc: 1, rev: 1, alive: true}
		n.core = New(n.process(), 1)
		w.nodes = append(w.nodes, n)
	}
	w.publish(nil)
	for _, n := range w.nodes {
		n.rev = 1
		w.tend(n)
	}
	return w
}

// on runs do in the host's process after a delay; a frozen one when it wakes.
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

// send carries a message; some are lost, some are late, cuts stop them.
func (w *world) send(from, to *node, do func()) {
	delay := time.Duration(w.rand.IntN(3000)) * time.Microsecond
	switch w.rand.IntN(40) {
	case 0:
		return
	case 1:
		delay *= 200
	}
	if from.cut == to.cut {
		w.on(to, delay, do)
	}
}

func (w *world) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// pair returns home and backup by a table.
func (w *world) pair(rev int) (home, backup member) {
	var members []fence.Member
	byName := map[string]member{}
	for _, m := range w.tables[rev] {
		members = append(members, fence.Member{Name: m.name, Zone: m.zone})
		byName[m.name] = m
	}
	h, b := fence.Pair("unit", members)
	return byName[h.Name], byName[b.Name]
}

// publish makes a table of the hosts that control hears. Those that control
// does not reach learn of it later.
func (w *world) publish(drop *node) {
	var members []member
	for _, n := range w.nodes {
		if n.alive && !n.cut && n != drop {
			num := len(w.tables)
			for _, m := range w.tables[len(w.tables)-1] {
				if m.name == n.name {
					num = m.num
				}
			}
			members = append(members, member{n.name, n.zone, n.process(), num})
		}
	}
	w.tables = append(w.tables, members)
	for _, n := range w.nodes {
		w.learn(n, len(w.tables)-1)
	}
}

// first returns the processes of a table if there were no others before.
func (w *world) first(rev int) []string {
	var listed []string
	for _, m := range w.tables[rev] {
		listed = append(listed, m.process)
	}
	for _, t := range w.tables[:rev] {
		for _, m := range t {
			if !slices.Contains(listed, m.process) {
				return nil
			}
		}
	}
	return listed
}

func (w *world) learn(n *node, rev int) {
	late := time.Duration(w.rand.IntN(400)) * time.Millisecond
	w.on(n, 0, func() {
		w.on(n, late, func() {
			if n.cut {
				w.learn(n, rev)
				return
			}
			n.rev = max(n.rev, rev)
		})
	})
}

// rejoin tells a host's core if its table shows that it was dropped.
func (w *world) rejoin(n *node) {
	for _, m := range w.tables[n.rev] {
		if m.name == n.name && m.num != n.num {
			n.num = m.num
			n.core.Rejoin(w.Now)
		}
	}
}

// tend does what a host does at each tick.
func (w *world) tend(n *node) {
	w.on(n, 50*time.Millisecond, func() { w.tend(n) })
	w.rejoin(n)
	home, backup := w.pair(n.rev)
	if home.name != n.name {
		n.core.Resign()
		return
	}
	var hosts []string
	for _, m := range w.tables[n.rev] {
		hosts = append(hosts, m.name)
	}
	if pair := home.process + backup.process; !n.core.Stands() || n.pair != pair {
		if n.core.Claim(fence.Epoch(n.rev), hosts, w.first(n.rev), Params{Retention: time.Hour, Lease: lease, MaxRecords: 1e6}) {
			n.pair, n.backup = pair, backup.name
		}
	}
	n.core.Listed(func(name string) bool {
		for _, h := range hosts {
			if h == name {
				return true
			}
		}
		return false
	}, w.Now)
	if !n.cut && n.rev == len(w.tables)-1 {
		n.core.Renew(w.Now)
	}
	w.gather(n)
	w.sync(n)
}

func (w *world) gather(n *node) {
	claim := fence.Mark{Epoch: n.core.Claims(), Home: n.process()}
	for _, name := range n.core.Waiting() {
		peer := w.find(name)
		w.send(n, peer, func() {
			if peer.rev < int(claim.Epoch) {
				return // it may not know yet that it was dropped
			}
			w.rejoin(peer)
			report, ok := peer.core.Fence(claim, w.Now)
			known := peer.core.Epoch()
			w.send(peer, n, func() {
				if !ok {
					n.core.Outbid(known)
					return
				}
				n.core.Reported(name, claim.Epoch, report, w.Now)
			})
		})
	}
}

func (w *world) sync(n *node) {
	s, ok := n.core.Pending(w.Now)
	if !ok {
		return
	}
	if n.backup == "" {
		n.core.Open(s.Claim.Epoch, w.Now)
		return
	}
	peer := w.find(n.backup)
	w.send(n, peer, func() {
		if peer.core.Sync(s, w.Now) {
			w.send(peer, n, func() { n.core.Open(s.Claim.Epoch, w.Now) })
		}
	})
}

// request is one attempt of a caller at one host.
func (w *world) request(n *node, key string, made time.Time) {
	if !n.alive {
		return
	}
	w.attempts++
	b := Begin{Key: key, Attempt: fmt.Sprintf("%s-%d", n.process(), w.attempts), Runner: n.process(), Remaining: time.Second}
	if w.timed {
		b.Made = made
	}
	home, _ := w.pair(n.rev)
	if home.name == "" {
		return
	}
	h := w.find(home.name)
	w.send(n, h, func() {
		d := h.core.Begin(b, w.Now)
		if d.Verdict != Run || h.backup == "" {
			w.send(h, n, func() { w.decided(n, h, b, d) })
			return
		}
		m := Copy{Claim: fence.Mark{Epoch: d.Epoch, Home: h.process()}, Record: d.Record}
		k := w.find(h.backup)
		w.send(h, k, func() {
			if !k.core.Copy(m, w.Now) {
				w.send(k, h, func() { h.core.Resync(d.Epoch) })
				return
			}
			w.send(k, h, func() { w.send(h, n, func() { w.decided(n, h, b, d) }) })
		})
	})
}

func (w *world) decided(n, h *node, b Begin, d Decision) {
	w.outcomes[fmt.Sprint(d.Verdict)]++
	switch d.Verdict {
	case Answered:
		if string(d.Record.Answer.Body) != b.Key {
			w.wrong++
		}
	case Run:
		if w.rand.IntN(5) == 0 || !n.core.Start(d.Record, d.Epoch, w.Now) {
			w.refused[b.Attempt] = true // certainly not sent
			w.send(n, h, func() { h.core.Abort(b.Key, b.Attempt) })
			return
		}
		w.runs[b.Key]++
		w.ran[b.Attempt] = true
		w.on(n, time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.finish(n, b) })
	default:
		w.refused[b.Attempt] = true
	}
}

func (w *world) finish(n *node, b Begin) {
	home, _ := w.pair(n.rev)
	h := w.find(home.name)
	if h == nil || w.rand.IntN(10) == 0 { // the answer is lost
		n.core.End(b.Key, b.Attempt)
		return
	}
	w.send(n, h, func() {
		r, ok := h.core.Finish(b.Key, b.Attempt, Answer{Body: []byte(b.Key)}, w.Now)
		if k := w.find(h.backup); ok && k != nil {
			m := Copy{Claim: fence.Mark{Epoch: h.core.Claims(), Home: h.process()}, Record: r}
			w.send(h, k, func() { k.core.Copy(m, w.Now) })
		}
		w.send(h, n, func() { n.core.End(b.Key, b.Attempt) })
	})
}

func (w *world) restart(n *node) {
	n.alive, n.cut, n.inc, n.rev, n.pair = true, false, n.inc+1, 0, ""
	n.core = New(n.process(), w.Now.UnixMicro())
	w.on(n, 0, func() { w.tend(n) })
	w.publish(nil)
}
