package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testElectionTimeout = 100 * time.Millisecond
	testHeartbeat       = 20 * time.Millisecond
	testTickInterval    = 5 * time.Millisecond
)

// testDisk holds the persisted state of a member.
type testDisk struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

func (d *testDisk) save(r Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot, nil
	}
	if r.MustSync {
		d.hardState = r.HardState
	}
	for _, e := range r.Entries {
		i, _ := slices.BinarySearchFunc(d.entries, e.Index, func(x Entry, index uint64) int { return int(x.Index) - int(index) })
		d.entries = append(d.entries[:i:i], e)
	}
}

// inFlightMessage is a message and the time at which it is due.
type inFlightMessage struct {
	at time.Duration
	m  Message
}

// cluster runs members over a simulated network that loses, delays, duplicates
// and reorders messages. It checks the invariants of Raft during each step.
type cluster struct {
	tb          testing.TB
	rand        *rand.Rand
	now         time.Duration
	nodes       map[ID]*Node
	disks       map[ID]*testDisk
	applied     map[ID]uint64
	committed   map[uint64]Entry // the entry that members applied at each index
	leaders     map[uint64]ID    // the leader seen in each term
	partition   map[ID]int       // partition of each member; messages between partitions are dropped
	loss        float64
	inFlight    []inFlightMessage
	trace       func(Message)
	reads       map[uint64]uint64 // index of each answered read, by request
	compactLogs bool
	quorumReads bool // for members that start from now on
}

func newCluster(tb testing.TB, seed uint64, voters int) *cluster {
	c := &cluster{
		tb: tb, rand: rand.New(rand.NewPCG(seed, 1)), nodes: map[ID]*Node{}, disks: map[ID]*testDisk{},
		applied: map[ID]uint64{}, committed: map[uint64]Entry{}, leaders: map[uint64]ID{}, partition: map[ID]int{}, reads: map[uint64]uint64{},
	}
	var m Membership
	for i := range voters {
		m.Members = append(m.Members, Member{ID: ID(i + 1), Name: memberName(ID(i + 1)), Voter: true})
	}
	firstEntry := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: EncodeMembership(m)}
	for i := range voters {
		d := &testDisk{}
		if i == 0 {
			d = &testDisk{hardState: HardState{Term: 1}, entries: []Entry{firstEntry}}
		}
		c.startMember(ID(i+1), d)
	}
	return c
}

func memberName(id ID) string { return fmt.Sprintf("host-%d", id) }

func (c *cluster) startMember(id ID, d *testDisk) {
	cfg := Config{ID: id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeat, Rand: c.rand, QuorumReads: c.quorumReads}
	n, err := New(cfg, Restored{HardState: d.hardState, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}, c.now)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.nodes[id], c.disks[id], c.applied[id] = n, d, 0
	if d.snapshot != nil {
		c.applied[id] = d.snapshot.Index
	}
}

func (c *cluster) crash(id ID) { delete(c.nodes, id) }

// step advances the time by one tick and delivers the messages that are due.
func (c *cluster) step() {
	c.now += testTickInterval
	due := c.inFlight
	c.inFlight = nil
	for _, f := range due {
		n := c.nodes[f.m.To]
		switch {
		case f.at > c.now:
			c.inFlight = append(c.inFlight, f)
		case n != nil && c.partition[f.m.From] == c.partition[f.m.To]:
			n.Step(c.now, f.m)
			c.processReady(f.m.To)
		}
	}
	for _, id := range c.ids() {
		c.nodes[id].Tick(c.now)
		c.processReady(id)
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

func (c *cluster) processReady(id ID) {
	n := c.nodes[id]
	for {
		r, ok := n.Ready()
		if !ok {
			break
		}
		c.disks[id].save(r)
		for _, m := range r.Messages {
			c.enqueue(m)
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
			c.tb.Fatalf("term %d has two leaders, members %d and %d", n.term, other, id)
		}
		c.leaders[n.term] = id
	}
	if c.compactLogs && len(n.log.entries) > 20 && n.log.applied > n.log.baseIndex+10 {
		if s, err := n.Compact(nil, 2); err == nil {
			d := c.disks[id]
			d.snapshot = &s
			d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index <= s.Index })
		}
	}
}

func (c *cluster) apply(id ID, e Entry) {
	if e.Index != c.applied[id]+1 {
		c.tb.Fatalf("member %d applied index %d after index %d", id, e.Index, c.applied[id])
	}
	c.applied[id] = e.Index
	if other, ok := c.committed[e.Index]; ok && (other.Term != e.Term || string(other.Data) != string(e.Data)) {
		c.tb.Fatalf("two different entries were committed at index %d", e.Index)
	}
	c.committed[e.Index] = e
}

func (c *cluster) enqueue(m Message) {
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
			delay = time.Duration(c.rand.Int64N(int64(3 * testTickInterval)))
		}
		if c.loss > 0 && c.rand.Float64() < 0.02 {
			delay = time.Duration(c.rand.Int64N(int64(5 * testElectionTimeout)))
		}
		c.inFlight = append(c.inFlight, inFlightMessage{c.now + delay, m})
	}
}

func (c *cluster) checkLeases() {
	var holder ID
	for _, id := range c.ids() {
		if c.nodes[id].Status(c.now).LeaseLeft == 0 {
			continue
		}
		if holder != 0 {
			c.tb.Fatalf("members %d and %d both hold a lease at %v", holder, id, c.now)
		}
		holder = id
	}
}

// waitUntil runs steps until the condition holds. It fails the test after 4000
// steps.
func (c *cluster) waitUntil(condition string, holds func() bool) {
	c.tb.Helper()
	for range 4000 {
		if holds() {
			return
		}
		c.step()
	}
	c.tb.Fatalf("condition not met: %s", condition)
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// waitForLeader waits until a member holds a lease and returns that member.
func (c *cluster) waitForLeader() ID {
	var found ID
	c.waitUntil("a member holds a lease", func() bool {
		for _, id := range c.ids() {
			if c.nodes[id].Status(c.now).LeaseLeft > 0 {
				found = id
			}
		}
		return found != 0
	})
	return found
}

// propose proposes a command until it is committed, and returns its index.
func (c *cluster) propose(data string) uint64 {
	c.tb.Helper()
	var index uint64
	c.waitUntil("command committed: "+data, func() bool {
		for i, e := range c.committed {
			if string(e.Data) == data {
				index = i
				return true
			}
		}
		for _, id := range c.ids() {
			if n := c.nodes[id]; n.role == Leader && n.log.lastIndex() == n.log.commit {
				_, _ = n.Propose([]byte(data))
				c.processReady(id)
			}
		}
		return false
	})
	return index
}

// waitAppliedOnAll waits until all running members have applied index.
func (c *cluster) waitAppliedOnAll(index uint64) {
	c.tb.Helper()
	c.waitUntil(fmt.Sprintf("all members have applied index %d", index), func() bool {
		for id := range c.nodes {
			if c.applied[id] < index {
				return false
			}
		}
		return true
	})
}

// changeMembership proposes a membership change to the leader and waits until
// it is committed.
func (c *cluster) changeMembership(fn func(Membership) (Membership, error)) {
	c.tb.Helper()
	var index uint64
	c.waitUntil("membership change proposed", func() bool {
		var err error
		id := c.waitForLeader()
		index, err = c.nodes[id].ProposeMembership(fn)
		c.processReady(id)
		return err == nil
	})
	c.waitUntil("membership change committed", func() bool { _, ok := c.committed[index]; return ok })
}

// waitAppliedOn waits until the given members have applied index.
func (c *cluster) waitAppliedOn(index uint64, ids ...ID) {
	c.tb.Helper()
	c.waitUntil("applied", func() bool {
		for _, id := range ids {
			if c.applied[id] < index {
				return false
			}
		}
		return true
	})
}
