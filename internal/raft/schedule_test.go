package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"greengagequay/internal/fault"
)

var seeds = flag.Int("seeds", 40, "number of seeds of the random schedules")

// Random schedules of crashes, cuts, loss, delay, duplicates, compaction and
// changes of members. The cluster checks the invariants at each step.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomSchedule(t, seed) })
	}
}

func randomSchedule(t *testing.T, seed uint64) {
	cl := newCluster(t, seed, 3+2*int(seed%2))
	cl.loss, cl.compacts = 0.05, true
	for id := ID(len(cl.disks) + 1); id <= 5; id++ {
		cl.start(id, &testDisk{}) // may be added later
	}
	proposed := 0
	for range 150 {
		id := ID(cl.rand.IntN(len(cl.disks)) + 1)
		switch cl.rand.IntN(9) {
		case 0:
			cl.crash(id)
		case 1, 2:
			if cl.nodes[id] == nil {
				cl.start(id, cl.disks[id])
			}
		case 3:
			cl.side[id] = cl.rand.IntN(2)
		case 4:
			clear(cl.side)
		case 5:
			if n := cl.nodes[id]; n != nil {
				n.Transfer()
				cl.drain(id)
			}
		case 6:
			cl.randomChange()
		}
		for _, id := range cl.ids() {
			if n := cl.nodes[id]; n.role == Leader {
				_, _ = n.Propose([]byte(fmt.Sprint(proposed)), []byte(fmt.Sprint(proposed, "b")))
				cl.drain(id)
				proposed++
			}
		}
		cl.wait(time.Duration(cl.rand.Int64N(int64(2 * testElection))))
	}
	cl.heal()
	defer func() {
		if !t.Failed() {
			return
		}
		for _, id := range cl.ids() {
			n := cl.nodes[id]
			t.Logf("%d: %+v base %d members %+v hard %+v", id, n.Status(cl.now), n.log.baseIndex, n.Membership(), cl.disks[id].hard)
		}
	}()
	last := cl.propose("healed")
	for index := uint64(1); index <= last; index++ {
		if _, ok := cl.chosen[index]; !ok {
			t.Fatalf("index %d was never applied", index)
		}
	}
}

func (c *cluster) heal() {
	clear(c.side)
	c.loss = 0
	for id := ID(1); c.disks[id] != nil; id++ {
		if c.nodes[id] == nil {
			c.start(id, c.disks[id])
		}
	}
}

func (c *cluster) randomChange() {
	for _, id := range c.ids() {
		n := c.nodes[id]
		if n.role != Leader {
			continue
		}
		_, _ = n.ProposeMembership(func(m Membership) (Membership, error) {
			target := ID(c.rand.IntN(5) + 1)
			if _, ok := m.Find(target); !ok {
				return m.Add(Member{ID: target, Name: name(target)})
			}
			if !m.IsVoter(target) {
				return m.Promote(name(target))
			}
			if len(m.Voters()) > 3 {
				return m.Remove(name(target))
			}
			return m, fault.New(fault.Invalid, "", "no change")
		})
		c.drain(id)
	}
}
