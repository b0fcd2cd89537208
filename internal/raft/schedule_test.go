package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"greengagequay/internal/fault"
)

var seeds = flag.Int("seeds", 40, "number of random schedules to run, one per seed")

// TestRandomSchedules runs random schedules of crashes, partitions, message loss,
// delay and duplication, compaction, leadership transfers and membership changes.
// The cluster checks the invariants at each step.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomSchedule(t, seed) })
	}
}

func runRandomSchedule(t *testing.T, seed uint64) {
	cl := newCluster(t, seed, 3+2*int(seed%2))
	cl.loss, cl.compactLogs = 0.05, true
	for id := ID(len(cl.disks) + 1); id <= 5; id++ {
		cl.startMember(id, &testDisk{}) // not a member yet; a random change may add it
	}
	proposed := 0
	for range 150 {
		id := ID(cl.rand.IntN(len(cl.disks)) + 1)
		switch cl.rand.IntN(9) {
		case 0:
			cl.crash(id)
		case 1, 2:
			if cl.nodes[id] == nil {
				cl.startMember(id, cl.disks[id])
			}
		case 3:
			cl.partition[id] = cl.rand.IntN(2)
		case 4:
			clear(cl.partition)
		case 5:
			if n := cl.nodes[id]; n != nil {
				n.Transfer()
				cl.processReady(id)
			}
		case 6:
			cl.proposeRandomChange()
		}
		for _, id := range cl.ids() {
			if n := cl.nodes[id]; n.role == Leader {
				_, _ = n.Propose([]byte(fmt.Sprint(proposed)), []byte(fmt.Sprint(proposed, "b")))
				cl.processReady(id)
				proposed++
			}
		}
		cl.advance(time.Duration(cl.rand.Int64N(int64(2 * testElectionTimeout))))
	}
	cl.heal()
	defer func() {
		if !t.Failed() {
			return
		}
		for _, id := range cl.ids() {
			n := cl.nodes[id]
			t.Logf("member %d: status %+v, base index %d, membership %+v, hard state %+v", id, n.Status(cl.now), n.log.baseIndex, n.Membership(), cl.disks[id].hardState)
		}
	}()
	last := cl.propose("healed")
	for index := uint64(1); index <= last; index++ {
		if _, ok := cl.committed[index]; !ok {
			t.Fatalf("no member applied index %d", index)
		}
	}
}

func (c *cluster) heal() {
	clear(c.partition)
	c.loss = 0
	for id := ID(1); c.disks[id] != nil; id++ {
		if c.nodes[id] == nil {
			c.startMember(id, c.disks[id])
		}
	}
}

func (c *cluster) proposeRandomChange() {
	for _, id := range c.ids() {
		n := c.nodes[id]
		if n.role != Leader {
			continue
		}
		_, _ = n.ProposeMembership(func(m Membership) (Membership, error) {
			target := ID(c.rand.IntN(5) + 1)
			if _, ok := m.Find(target); !ok {
				return m.Add(Member{ID: target, Name: memberName(target)})
			}
			if !m.IsVoter(target) {
				return m.Promote(memberName(target))
			}
			if len(m.Voters()) > 3 {
				return m.Remove(memberName(target))
			}
			return m, fault.New(fault.Invalid, "", "no change")
		})
		c.processReady(id)
	}
}
