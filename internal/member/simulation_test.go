package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"greengagequay/internal/member"
	"greengagequay/internal/model"
)

// network simulates hosts with one fake clock and links that lose, delay and
// reorder messages.
type network struct {
	rand     *rand.Rand
	now      time.Time
	nodes    []*node
	byAddr   map[string]*node
	queue    deliveries
	lossRate float64
	maxDelay time.Duration                 // longest one-way delay
	blocked  func(from, to *node) bool     // reports whether a link loses all messages
	event    func(n *node, e member.Event) // called for each event unless nil
	order    int
}

type node struct {
	core   *member.Core
	self   model.Host
	down   bool
	slow   time.Duration // extra delay of every message that arrives
	skew   time.Duration // offset of this host's clock
	bytes  int64         // bytes sent and received, with IP and UDP headers
	next   time.Time
	paused time.Time // the host does not run until this time
}

type delivery struct {
	at    time.Time
	order int
	to    *node
	from  string
	data  []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

var startTime = time.Unix(1e9, 0) // start of the fake clock

const headerBytes = 28 // bytes of IPv4 and UDP headers

// newNetwork starts zones*perZone hosts. The first host of each of the first three
// zones is a control host.
func newNetwork(seed uint64, zones, perZone int) *network {
	nw := &network{rand: rand.New(rand.NewPCG(seed, 1)), now: startTime, byAddr: map[string]*node{}, maxDelay: 3 * time.Millisecond}
	for z := range zones {
		for i := range perZone {
			nw.add(fmt.Sprintf("z%02d-%02d", z, i), fmt.Sprintf("z%02d", z), uint64(1000), z < 3 && i == 0)
		}
	}
	return nw
}

func (nw *network) add(name, zone string, incarnation uint64, control bool) *node {
	n := &node{self: model.Host{Name: name, Zone: zone, Entry: true, Control: control, Incarnation: incarnation, RPC: "10.0.0.1:7101", Gossip: name, State: model.Alive}}
	nw.nodes = append(nw.nodes, n)
	nw.byAddr[name] = n
	nw.start(n)
	return n
}

// start starts a node, or restarts it without its state. Its seeds are two hosts
// of the network and two of its zone.
func (nw *network) start(n *node) {
	n.down = false
	seeds := []string{"z00-00", "z01-00", n.self.Zone + "-00", n.self.Zone + "-01"}
	n.core = member.New(member.Options{Self: n.self, Seeds: seeds, Rand: rand.New(rand.NewPCG(nw.rand.Uint64(), 2))})
	n.next = nw.now.Add(time.Duration(nw.rand.IntN(int(member.TickInterval))))
}

func (nw *network) restart(n *node) {
	n.self.Incarnation++
	nw.start(n)
}

func (nw *network) run(d time.Duration) {
	end := nw.now.Add(d)
	for step := 10 * time.Millisecond; nw.now.Before(end); {
		nw.now = nw.now.Add(step)
		for len(nw.queue) > 0 && !nw.queue[0].at.After(nw.now) {
			nw.deliver(heap.Pop(&nw.queue).(delivery))
		}
		for _, n := range nw.nodes {
			if !n.down && !nw.now.Before(n.paused) && !nw.now.Before(n.next) {
				n.next = nw.now.Add(member.TickInterval)
				nw.apply(n, n.core.Tick(nw.now.Add(n.skew)))
			}
		}
	}
}

// runUntil runs the network until the condition holds or the limit is reached, and
// returns the simulated time that passed.
func (nw *network) runUntil(limit time.Duration, holds func() bool) time.Duration {
	start := nw.now
	step := 50 * time.Millisecond * time.Duration(1+len(nw.nodes)/100)
	for nw.now.Sub(start) < limit && !holds() {
		nw.run(step)
	}
	return nw.now.Sub(start)
}

func (nw *network) deliver(d delivery) {
	if d.to.down || nw.now.Before(d.to.paused) {
		return
	}
	m, err := member.Decode(d.data)
	if err != nil {
		panic(err)
	}
	d.to.bytes += int64(len(d.data) + headerBytes)
	nw.apply(d.to, d.to.core.Step(nw.now.Add(d.to.skew), d.from, m))
}

func (nw *network) apply(n *node, out member.Output) {
	for _, p := range out.Send {
		data, err := member.Encode(p.Message)
		if err != nil {
			panic(err)
		}
		n.bytes += int64(len(data) + headerBytes)
		to := nw.byAddr[p.To]
		if to == nil || nw.rand.Float64() < nw.lossRate || (nw.blocked != nil && nw.blocked(n, to)) {
			continue
		}
		nw.order++
		delay := time.Duration(nw.rand.Int64N(int64(nw.maxDelay)+1)) + to.slow
		heap.Push(&nw.queue, delivery{at: nw.now.Add(delay), order: nw.order, to: to, from: n.self.Gossip, data: data})
	}
	if nw.event != nil {
		for _, e := range out.Events {
			nw.event(n, e)
		}
	}
}

func (n *node) stateOf(name string) model.HostState {
	hosts := n.core.Hosts()
	i := slices.IndexFunc(hosts, func(h model.Host) bool { return h.Name == name })
	if i < 0 {
		return ""
	}
	return hosts[i].State
}

// viewsMatchRunning reports whether every running node sees exactly the running
// nodes as alive or suspect.
func (nw *network) viewsMatchRunning() bool {
	up := map[string]uint64{}
	for _, n := range nw.nodes {
		if !n.down {
			up[n.self.Name] = n.core.Self().Incarnation
		}
	}
	for _, n := range nw.nodes {
		if n.down {
			continue
		}
		alive := 0
		for _, h := range n.core.Hosts() {
			if h.State != model.Alive && h.State != model.Suspect {
				continue
			}
			alive++
			if up[h.Name] != h.Incarnation {
				return false
			}
		}
		if alive != len(up) {
			return false
		}
	}
	return true
}

// allSee reports whether every other running node of the zone, or of all zones
// if zone is empty, sees the host in the given state.
func (nw *network) allSee(name, zone string, want model.HostState) bool {
	for _, n := range nw.nodes {
		if !n.down && n.self.Name != name && (zone == "" || n.self.Zone == zone) && n.stateOf(name) != want {
			return false
		}
	}
	return true
}
