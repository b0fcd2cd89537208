// Package conntrack tracks the flows that an entry host forwards. Answers go from
// backend servers directly to callers, so it infers from the packets of callers alone
// what became of their requests: when and with how many bytes they were answered,
// whether they were left unanswered, and which connections were refused. It also names
// the flows whose backend server is gone, for the host to reset. The package uses no
// I/O, clock or goroutine.
package conntrack

import (
	"time"

	"greengagequay/internal/steering"
)

const (
	// maxFlows limits the memory of a table to about 4.7 MB.
	maxFlows       = 65_536
	minIndexLength = 64

	// maxPause is the longest time between two calls of Tick, which are 100 ms apart,
	// that is not a pause of the host. During a pause packets wait or are lost.
	maxPause = 300 * time.Millisecond
	// A caller sends the copies of an opening packet 200 and 600 ms after the original,
	// so the second copy comes 400 ms after the first one. After the second copy nothing
	// follows, whether the backend server refused it or left it unanswered.
	openingTimeout  = 400 * time.Millisecond
	firstCopyLimit  = 600 * time.Millisecond
	secondCopyLimit = 800 * time.Millisecond

	maxRequestTimeout = 2 * time.Second // also used for routes without a timeout
	// A request that takes lateFactor times the target latency of its route counts as
	// unanswered, but not before minRequestTimeout: packets that are lost twice take
	// 0.6 s longer. With 2 s for all routes, a backend server that accepts requests and
	// never answers got its full share of new flows for 2 s longer.
	lateFactor         = 2
	minRequestTimeout  = 700 * time.Millisecond
	defaultIdleTimeout = 15 * time.Second
	maxIdleTimeout     = 24 * time.Hour // well below the time after which stamps wrap around
	// closedRetention is how long a flow is kept after FIN: the caller still
	// acknowledges the end of the answer, which must not count as a new flow.
	closedRetention = 2 * time.Second
	// useGranularity is how precisely flows are ordered by their last packet.
	useGranularity = 100 * time.Millisecond
	// maxSequenceGap is the largest distance of a sequence number from the data seen before.
	// It allows for an upload of which this host missed a part, and for old copies.
	maxSequenceGap = 1 << 22
	// maxAnswerBytes is the largest rise of the acknowledgement number that is taken for
	// the first part of an answer. A larger one is of another flow with the same ports.
	maxAnswerBytes = 1 << 20
)

// Config holds the parameters of a table.
type Config struct {
	Seed uint64 // of the hash of flows; one that callers do not know keeps them from choosing ports that collide
	// FullData is the number of data bytes in each packet of a request but the last, 0
	// if it is not known.
	FullData int
	MaxFlows int // 0 for the usual limit
}

// Table holds the flows of an entry host. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	steering *steering.Table // routes and backend servers
	flows    []flow          // the first element holds no flow, but the ends of the lists
	index    []uint32        // hash table of the flows, with linear probing
	mask     uint32          // len(index)-1
	free     uint32          // first free place in flows
	count    int
	servers  servers
	aliveAt  time.Duration // last call of Tick
	outcomes []Outcome     // since the last call of Tick
	spare    []Outcome     // slice that the last call of Tick returned
	credit   resetCredit
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = maxFlows
	}
	return &Table{
		cfg: cfg, steering: steering.Build(nil, nil), flows: make([]flow, 1), index: make([]uint32, minIndexLength), mask: minIndexLength - 1,
		servers: servers{list: make([]server, 1), index: map[startID]uint32{}},
	}
}

// SetTable sets the routes and backend servers that the steerer uses from now on.
func (t *Table) SetTable(now time.Duration, s *steering.Table) {
	t.steering = s
	for i := range t.servers.list {
		if x := &t.servers.list[i]; x.flows > 0 {
			x.update(now, s)
		}
	}
}

// Len returns the number of tracked flows.
func (t *Table) Len() int { return t.count }

// Observe records a packet and the decision about it. Flows with other addresses than
// IPv4 are not tracked.
func (t *Table) Observe(now time.Duration, p steering.Packet, d steering.Decision) {
	k, ok := keyOf(p.Caller, p.Route)
	if !ok {
		return
	}
	if now-t.aliveAt > maxPause {
		t.voidWaits(now)
	}
	i := t.find(k)
	switch {
	case d.Verdict != steering.Forward:
		if i != 0 && (d.Verdict == steering.Refuse || p.Reset) {
			t.remove(i)
		}
	case p.Opening:
		t.open(now, i, k, p, d.Server)
	case i == 0 && !p.Fin && !p.Reset:
		t.follow(now, t.add(now, k, d.Server), &p)
	case i != 0 && !t.flows[i].has(closed):
		if t.flows[i].token != p.Token || t.flows[i].isUnlike(&p) {
			t.rebind(now, i, d.Server)
		}
		t.follow(now, i, &p)
	}
}

// open records an opening packet that was placed. The flow before it with the same
// ports, if any, has ended.
func (t *Table) open(now time.Duration, i uint32, k key, p steering.Packet, s *steering.Server) {
	if i != 0 {
		t.remove(i)
	}
	i = t.add(now, k, s)
	t.flows[i].flags |= begun
	t.flows[i].copies = uint8(min(p.Copy, 0xff))
	t.wait(now, i, opening)
}

// isUnlike reports whether the sequence number of a packet is so far from those of a flow
// that the packet is of another flow with the same ports.
func (f *flow) isUnlike(p *steering.Packet) bool {
	return f.has(sequenced) && p.Sequence-f.sentEnd+maxSequenceGap > 2*maxSequenceGap
}

// rebind records that a flow belongs to another backend server than the last packet
// said. After a repeated opening packet the caller may have followed the answer of an
// earlier backend server; otherwise it is another flow with the same ports, first seen now.
func (t *Table) rebind(now time.Duration, i uint32, s *steering.Server) {
	old := t.flows[i].server
	if !t.flows[i].has(opening) {
		t.endWait(i)
		t.flows[i].flags = 0
		t.flows[i].firstAt = stampOf(now)
	}
	t.flows[i].token, t.flows[i].server = s.Token, t.servers.acquire(s)
	t.servers.release(old)
}

// follow records a packet that does not open a flow.
func (t *Table) follow(now time.Duration, i uint32, p *steering.Packet) {
	f := &t.flows[i]
	at := stampOf(now)
	if at.since(f.usedAt) >= useGranularity {
		f.usedAt = at
		t.unlink(byUse, i)
		t.append(byUse, i)
	}
	if f.has(opening) {
		t.endWait(i)
	}
	if !f.has(sequenced) {
		t.start(f, p)
	}
	isNew := p.Data > 0 && int32(p.Sequence+uint32(p.Data)-f.sentEnd) > 0
	rise := p.Ack - f.ack
	rose := int32(rise) > 0
	if rose {
		f.ack = p.Ack
		t.answer(at, i, rise, isNew)
	}
	switch {
	case isNew:
		t.send(now, i, p)
	case p.Data == 0 && int32(p.Sequence-f.sentEnd) > 0: // data went another way
		f.sentEnd = p.Sequence
		if !rose && !f.has(pending) {
			f.flags |= unseen
		}
	}
	if p.Fin || p.Reset {
		t.end(now, i, p.Reset)
	}
}

// start sets the numbers of a flow from its first packet after the opening ones.
func (t *Table) start(f *flow, p *steering.Packet) {
	f.flags |= sequenced
	f.sentEnd, f.ack = p.Sequence, p.Ack
	if p.Data > 0 && !f.has(begun) {
		f.flags |= unseen
	}
}

// answer records that the acknowledgement number rose. If the packet also holds the
// next data, the packets that acknowledged the answer were lost or went another way, so
// the time of the answer is not known.
func (t *Table) answer(at stamp, i uint32, rise uint32, withData bool) {
	f := &t.flows[i]
	f.flags &^= unseen
	if !f.has(pending) {
		return
	}
	t.endWait(i)
	if !withData && rise <= maxAnswerBytes {
		t.report(f, Answered, at.since(f.waitAt), int(rise))
	}
}

// send records new data of the caller. It begins a request unless one waits or the
// begin was not seen.
func (t *Table) send(now time.Duration, i uint32, p *steering.Packet) {
	f := &t.flows[i]
	missing := int32(p.Sequence-f.sentEnd) > 0
	continues := f.has(more)
	f.sentEnd = p.Sequence + uint32(p.Data)
	f.flags &^= more
	if t.cfg.FullData > 0 && p.Data >= t.cfg.FullData {
		f.flags |= more
	}
	switch {
	case f.has(pending|unseen) || continues:
	case missing:
		f.flags |= unseen
	default:
		t.wait(now, i, pending)
	}
}

// end records that the caller ended the flow. A caller whose own timeout ends shortly
// before this host's has got no answer either.
func (t *Table) end(now time.Duration, i uint32, reset bool) {
	f := &t.flows[i]
	if f.has(pending) && stampOf(now).since(f.waitAt)+useGranularity >= t.requestTimeout(f) {
		t.report(f, Unanswered, 0, 0)
	}
	if reset {
		t.remove(i)
		return
	}
	t.wait(now, i, closed)
}

// report adds an outcome of a flow. It writes to the place of an earlier outcome if there
// is one, since copies of outcomes take a tenth of the time of a packet.
func (t *Table) report(f *flow, kind Kind, latency time.Duration, bytes int) {
	n := len(t.outcomes)
	if n == cap(t.outcomes) {
		t.outcomes = append(t.outcomes, Outcome{})
	}
	t.outcomes = t.outcomes[:n+1]
	o, s := &t.outcomes[n], &t.servers.list[f.server]
	o.Server, o.Born, o.Service, o.Route = s.id, s.born, s.service, f.key.routeAddr()
	o.Kind, o.Latency, o.Bytes = kind, latency, bytes
}

// FlowsOf returns the flows of a backend server that are open.
func (t *Table) FlowsOf(server string, born int64) []Flow {
	var list []Flow
	for i := range t.flows {
		f := &t.flows[i]
		if s := &t.servers.list[f.server]; f.isOpen() && s.id == server && s.born == born {
			list = append(list, Flow{Flow: f.key.flow(), Ack: f.ack, Server: server})
		}
	}
	return list
}

// isOpen reports whether a place holds a flow that is open, as far as this host knows.
func (f *flow) isOpen() bool { return f.server != 0 && f.has(sequenced) && !f.has(closed) }
