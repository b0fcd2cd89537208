package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testElection = 100 * time.Millisecond
	testBeat     = 20 * time.Millisecond
	testStep     = 5 * time.Millisecond
)

// testDisk is what a member has persisted.
type testDisk struct {
	hard    HardState
	snap    *Snapshot
	entries []Entry
}

func (d *testDisk) save(r Ready) {
	if r.Snapshot != nil {
		d.snap, d.entries = r.Snapshot, nil
	}
	if r.MustSync {
		d.hard = r.HardState
	}
	for _, e := range r.Entries {
		i, _ := slices.BinarySearchFunc(d.entries, e.Index, func(x Entry, index uint64) int { return int(x.Index) - int(index) })
		d.entries = append(d.entries[:i:i], e)
	}
}

type flight struct {
	at time.Duration
	m  Message
}

// cluster runs members over a network that loses, delays, duplicates and
// reorders, and checks the invariants after each step.
type cluster struct {
	tb       testing.TB
	rand     *rand.Rand
	now      time.Duration
	nodes    map[ID]*Node
	disks    map[ID]*testDisk
	applied  map[ID]uint64
	chosen   map[uint64]Entry // the one entry committed at each index
	leaders  map[uint64]ID    // the one leader of each term
	side     map[ID]int       // members on different sides do not reach each other
	loss     float64
	network  []flight
	trace    func(Message)
	reads    map[uint64]uint64 // answered reads
	compacts bool
}

func newCluster(tb testing.TB, seed uint64, voters int) *cluster {
	c := &cluster{
		tb: tb, rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[ID]*Node{}, disks: map[ID]*testDisk{},
		applied: map[ID]uint64{}, chosen: map[uint64]Entry{}, leaders: map[uint64]ID{}, side: map[ID]int{}, reads: map[uint64]uint64{},
	}
	var m Membership
	for i := range voters {
		m.Members = append(m.Members, Member{ID: ID(i + 1), Name: name(ID(i + 1)), Voter: true})
	}
	founding := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: EncodeMembership(m)}
	for i := range voters {
		d := &testDisk{}
		if i == 0 {
			d = &testDisk{hard: HardState{Term: 1}, entries: []Entry{founding}}
		}
		c.start(ID(i+1), d)
	}
	return c
}

func name(id ID) string { return fmt.Sprintf("host-%d", id) }

func (c *cluster) start(id ID, d *testDisk) {
	cfg := Config{ID: id, ElectionTimeout: testElection, HeartbeatInterval: testBeat, Rand: c.rand}
	n, err := New(cfg, Restored{HardState: d.hard, Snapshot: d.snap, Entries: slices.Clone(d.entries)}, c.now)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.nodes[id], c.disks[id], c.applied[id] = n, d, 0
	if d.snap != nil {
		c.applied[id] = d.snap.Index
	}
}

func (c *cluster) crash(id ID) { delete(c.nodes, id) }

// step advances the time and delivers what is due.
func (c *cluster) step() {
	c.now += testStep
	due := c.network
	c.network = nil
	for _, f := range due {
		n := c.nodes[f.m.To]
		switch {
		case f.at > c.now:
			c.network = append(c.network, f)
		case n != nil && c.side[f.m.From] == c.side[f.m.To]:
			n.Step(c.now, f.m)
			c.drain(f.m.To)
		}
	}
	for _, id := range c.ids() {
		c.nodes[id].Tick(c.now)
		c.drain(id)
	}
	c.checkLeases()
}

func (c *cluster) ids() []ID {
	var ids []ID
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) drain(id ID) {
	n := c.nodes[id]
	for {
		r, ok := n.Ready()
		if !ok {
			break
		}
		c.disks[id].save(r)
		for _, m := range r.Messages {
			c.deliver(m)
		}
		if r.Snapshot != nil {
			c.applied[id] = r.Snapshot.Index
		}
		for _, e := range r.Committed {
			c.apply(id, e)
		}
		for _, rs := range r.ReadStates {
			c.reads[rs.Request] = rs.Index
		}
		n.Advance(r)
	}
	if n.role == Leader {
		if other, ok := c.leaders[n.term]; ok && other != id {
			c.tb.Fatalf("term %d has leaders %d and %d", n.term, other, id)
		}
		c.leaders[n.term] = id
	}
	if c.compacts && len(n.log.entries) > 20 && n.log.applied > n.log.baseIndex+10 {
		if s, err := n.Compact(nil, 2); err == nil {
			d := c.disks[id]
			d.snap = &s
			d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= s.Index })
		}
	}
}

func (c *cluster) apply(id ID, e Entry) {
	if e.Index != c.applied[id]+1 {
		c.tb.Fatalf("member %d applies %d after %d", id, e.Index, c.applied[id])
	}
	c.applied[id] = e.Index
	if was, ok := c.chosen[e.Index]; ok && (was.Term != e.Term || string(was.Data) != string(e.Data)) {
		c.tb.Fatalf("index %d has two committed entries", e.Index)
	}
	c.chosen[e.Index] = e
}

func (c *cluster) deliver(m Message) {
	if c.trace != nil {
		c.trace(m)
	}
	copies := 1
	if c.loss > 0 && c.rand.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if c.rand.Float64() < c.loss {
			continue
		}
		delay := time.Millisecond
		if c.loss > 0 {
			delay = time.Duration(c.rand.Int64N(int64(3 * testStep)))
		}
		if c.loss > 0 && c.rand.Float64() < 0.02 {
			delay = time.Duration(c.rand.Int64N(int64(5 * testElection)))
		}
		c.network = append(c.network, flight{c.now + delay, m})
	}
}

func (c *cluster) checkLeases() {
	var holder ID
	for _, id := range c.ids() {
		if c.nodes[id].Status(c.now).LeaseLeft == 0 {
			continue
		}
		if holder != 0 {
			c.tb.Fatalf("members %d and %d hold a lease at %v", holder, id, c.now)
		}
		holder = id
	}
}

// run steps until the condition holds.
func (c *cluster) run(what string, holds func() bool) {
	c.tb.Helper()
	for range 4000 {
		if holds() {
			return
		}
		c.step()
	}
	c.tb.Fatalf("never: %s", what)
}

func (c *cluster) wait(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// leader returns the leader of the highest term, once it holds a lease.
func (c *cluster) leader() ID {
	var found ID
	c.run("a leader", func() bool {
		for _, id := range c.ids() {
			if c.nodes[id].Status(c.now).LeaseLeft > 0 {
				found = id
			}
		}
		return found != 0
	})
	return found
}

// propose commits a command and returns its index.
func (c *cluster) propose(data string) uint64 {
	c.tb.Helper()
	var index uint64
	c.run("commit of "+data, func() bool {
		for i, e := range c.chosen {
			if string(e.Data) == data {
				index = i
				return true
			}
		}
		for _, id := range c.ids() {
			if n := c.nodes[id]; n.role == Leader && n.log.last() == n.log.commit {
				_, _ = n.Propose([]byte(data))
				c.drain(id)
			}
		}
		return false
	})
	return index
}

// everywhere waits until all running members have applied index.
func (c *cluster) everywhere(index uint64) {
	c.tb.Helper()
	c.run(fmt.Sprintf("index %d everywhere", index), func() bool {
		for id := range c.nodes {
			if c.applied[id] < index {
				return false
			}
		}
		return true
	})
}

// change commits a change of members on the leader.
func (c *cluster) change(fn func(Membership) (Membership, error)) {
	c.tb.Helper()
	var index uint64
	c.run("change of members", func() bool {
		var err error
		id := c.leader()
		index, err = c.nodes[id].ProposeMembership(fn)
		c.drain(id)
		return err == nil
	})
	c.run("commit of the change", func() bool { _, ok := c.chosen[index]; return ok })
}

// appliedOn waits until the given members have applied index.
func (c *cluster) appliedOn(index uint64, ids ...ID) {
	c.tb.Helper()
	c.run("applied", func() bool {
		for _, id := range ids {
			if c.applied[id] < index {
				return false
			}
		}
		return true
	})
}
