package idempotency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"greengagequay/internal/fence"
	"greengagequay/internal/simtime"
)

// node is a simulated entry host. A partitioned node reaches only other
// partitioned nodes, and receives no tables.
type node struct {
	name, zone           string
	incarnation          int
	alive, partitioned   bool
	frozenUntil          time.Time
	revision, generation int
	core                 *Core
	claimedPair          string // processes of home and backup for which the claim was made
	backup               string // name of the backup for which the claim was made
}

func (n *node) process() string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

// member is a process listed in a table.
type member struct {
	name, zone, process string
	generation          int // differs each time that the host is listed again
}

// cluster simulates the hosts of one shard.
type cluster struct {
	simtime.Scheduler
	rand         *rand.Rand
	nodes        []*node
	tables       [][]member
	runs         map[string]int  // number of runs at the backend server, by key
	ran          map[string]bool // attempts that ran
	refused      map[string]bool // attempts reported as not run
	wrongAnswers int             // answers that belong to another key
	outcomes     map[string]int  // number of decisions, by verdict
	attempts     int             // number of keys and attempts, used in their ids
	keysTimed    bool            // callers state when they created a key
}

func newCluster(seed uint64, hosts int) *cluster {
	w := &cluster{rand: rand.New(rand.NewPCG(seed, 2)), Scheduler: simtime.Scheduler{Now: time.Unix(1000, 0)}, keysTimed: true,
		runs: map[string]int{}, ran: map[string]bool{}, refused: map[string]bool{}, outcomes: map[string]int{}, tables: [][]member{nil}}
	for i := range hosts {
		n := &node{name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%3), incarnation: 1, revision: 1, alive: true}
		n.core = New(n.process(), 1)
		w.nodes = append(w.nodes, n)
	}
	w.publish(nil)
	for _, n := range w.nodes {
		n.revision = 1
		w.tick(n)
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

// send delivers a message. Some messages are lost, some arrive late, and none
// crosses a partition.
func (w *cluster) send(from, to *node, fn func()) {
	delay := time.Duration(w.rand.IntN(3000)) * time.Microsecond
	switch w.rand.IntN(40) {
	case 0:
		return
	case 1:
		delay *= 200
	}
	if from.partitioned == to.partitioned {
		w.runOn(to, delay, fn)
	}
}

func (w *cluster) find(name string) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// pair returns home and backup according to a table revision.
func (w *cluster) pair(revision int) (home, backup member) {
	var members []fence.Member
	byName := map[string]member{}
	for _, m := range w.tables[revision] {
		members = append(members, fence.Member{Name: m.name, Zone: m.zone})
		byName[m.name] = m
	}
	h, b := fence.HomeAndBackup("unit", members)
	return byName[h.Name], byName[b.Name]
}

// publish creates a table revision with all hosts except drop that are alive and
// not partitioned. Partitioned hosts receive the revision only once the partition
// has ended.
func (w *cluster) publish(drop *node) {
	var members []member
	for _, n := range w.nodes {
		if n.alive && !n.partitioned && n != drop {
			generation := len(w.tables)
			for _, m := range w.tables[len(w.tables)-1] {
				if m.name == n.name {
					generation = m.generation
				}
			}
			members = append(members, member{n.name, n.zone, n.process(), generation})
		}
	}
	w.tables = append(w.tables, members)
	for _, n := range w.nodes {
		w.deliverTable(n, len(w.tables)-1)
	}
}

// initialProcesses returns the processes of a table revision if earlier revisions
// list no others, else nil.
func (w *cluster) initialProcesses(revision int) []string {
	var listed []string
	for _, m := range w.tables[revision] {
		listed = append(listed, m.process)
	}
	for _, t := range w.tables[:revision] {
		for _, m := range t {
			if !slices.Contains(listed, m.process) {
				return nil
			}
		}
	}
	return listed
}

// deliverTable delivers a table revision to a host after a random delay, and
// tries again while the host is partitioned.
func (w *cluster) deliverTable(n *node, revision int) {
	delay := time.Duration(w.rand.IntN(400)) * time.Millisecond
	w.runOn(n, 0, func() {
		w.runOn(n, delay, func() {
			if n.partitioned {
				w.deliverTable(n, revision)
				return
			}
			n.revision = max(n.revision, revision)
		})
	})
}

// rejoin calls Rejoin on a host's core if the table shows that the host was
// dropped in between.
func (w *cluster) rejoin(n *node) {
	for _, m := range w.tables[n.revision] {
		if m.name == n.name && m.generation != n.generation {
			n.generation = m.generation
			n.core.Rejoin(w.Now)
		}
	}
}

// tick runs a host's periodic work and schedules the next run.
func (w *cluster) tick(n *node) {
	w.runOn(n, 50*time.Millisecond, func() { w.tick(n) })
	w.rejoin(n)
	home, backup := w.pair(n.revision)
	if home.name != n.name {
		n.core.Resign()
		return
	}
	var hosts []string
	for _, m := range w.tables[n.revision] {
		hosts = append(hosts, m.name)
	}
	if pair := home.process + backup.process; !n.core.HasCurrentClaim() || n.claimedPair != pair {
		if n.core.Claim(fence.Epoch(n.revision), hosts, w.initialProcesses(n.revision), Params{Retention: time.Hour, Lease: lease, MaxRecords: 1e6}) {
			n.claimedPair, n.backup = pair, backup.name
		}
	}
	n.core.UpdateListed(func(name string) bool {
		for _, h := range hosts {
			if h == name {
				return true
			}
		}
		return false
	}, w.Now)
	if !n.partitioned && n.revision == len(w.tables)-1 {
		n.core.Renew(w.Now)
	}
	w.requestReports(n)
	w.sync(n)
}

// requestReports sends the claim to the hosts whose reports are missing.
func (w *cluster) requestReports(n *node) {
	claim := fence.Mark{Epoch: n.core.ClaimEpoch(), Home: n.process()}
	for _, name := range n.core.MissingReports() {
		peer := w.find(name)
		w.send(n, peer, func() {
			if peer.revision < int(claim.Epoch) {
				return // its table is older than the claim and may not show that it was dropped
			}
			w.rejoin(peer)
			report, ok := peer.core.Fence(claim, w.Now)
			known := peer.core.Epoch()
			w.send(peer, n, func() {
				if !ok {
					n.core.ClaimRefused(known)
					return
				}
				n.core.AddReport(name, claim.Epoch, report, w.Now)
			})
		})
	}
}

// sync sends the whole shard to the backup if needed, then opens the home.
func (w *cluster) sync(n *node) {
	s, ok := n.core.PendingSync(w.Now)
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

// request sends one attempt of a caller through a host.
func (w *cluster) request(n *node, key string, made time.Time) {
	if !n.alive {
		return
	}
	w.attempts++
	b := Begin{Key: key, Attempt: fmt.Sprintf("%s-%d", n.process(), w.attempts), Runner: n.process(), Remaining: time.Second}
	if w.keysTimed {
		b.Made = made
	}
	home, _ := w.pair(n.revision)
	if home.name == "" {
		return
	}
	h := w.find(home.name)
	w.send(n, h, func() {
		d := h.core.Begin(b, w.Now)
		if d.Verdict != Run || h.backup == "" {
			w.send(h, n, func() { w.handleDecision(n, h, b, d) })
			return
		}
		m := Copy{Claim: fence.Mark{Epoch: d.Epoch, Home: h.process()}, Record: d.Record}
		k := w.find(h.backup)
		w.send(h, k, func() {
			if !k.core.Copy(m, w.Now) {
				w.send(k, h, func() { h.core.Resync(d.Epoch) })
				return
			}
			w.send(k, h, func() { w.send(h, n, func() { w.handleDecision(n, h, b, d) }) })
		})
	})
}

// handleDecision handles the decision of home h on an attempt of host n.
func (w *cluster) handleDecision(n, h *node, b Begin, d Decision) {
	w.outcomes[fmt.Sprint(d.Verdict)]++
	switch d.Verdict {
	case Answered:
		if string(d.Record.Answer.Body) != b.Key {
			w.wrongAnswers++
		}
	case Run:
		if w.rand.IntN(5) == 0 || !n.core.Start(d.Record, d.Epoch, w.Now) {
			w.refused[b.Attempt] = true // the attempt was not sent
			w.send(n, h, func() { h.core.Abort(b.Key, b.Attempt) })
			return
		}
		w.runs[b.Key]++
		w.ran[b.Attempt] = true
		w.runOn(n, time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.finish(n, b) })
	default:
		w.refused[b.Attempt] = true
	}
}

// finish reports the answer of an attempt to the home. One in ten answers is
// lost.
func (w *cluster) finish(n *node, b Begin) {
	home, _ := w.pair(n.revision)
	h := w.find(home.name)
	if h == nil || w.rand.IntN(10) == 0 {
		n.core.End(b.Key, b.Attempt)
		return
	}
	w.send(n, h, func() {
		r, ok := h.core.Finish(b.Key, b.Attempt, Answer{Body: []byte(b.Key)}, w.Now)
		if k := w.find(h.backup); ok && k != nil {
			m := Copy{Claim: fence.Mark{Epoch: h.core.ClaimEpoch(), Home: h.process()}, Record: r}
			w.send(h, k, func() { k.core.Copy(m, w.Now) })
		}
		w.send(h, n, func() { n.core.End(b.Key, b.Attempt) })
	})
}

func (w *cluster) restart(n *node) {
	n.alive, n.partitioned, n.incarnation, n.revision, n.claimedPair = true, false, n.incarnation+1, 0, ""
	n.core = New(n.process(), w.Now.UnixMicro())
	w.runOn(n, 0, func() { w.tick(n) })
	w.publish(nil)
}
