package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/member"
)

func (n *node) lease(nw *network) member.Lease { return n.core.Lease(nw.now.Add(n.skew)) }

// checkLeases fails if a lease has expired on the leader before it expires on the
// host that holds it.
func checkLeases(c *qt.C, nw *network, leader *node) {
	for _, n := range nw.nodes {
		if leader.core.LeaseOf(n.self.Name).Expired && !n.lease(nw).Expired {
			c.Fatalf("%s still holds a lease that has expired on the leader: %+v, leader %+v", n.self.Name, n.lease(nw), leader.core.LeaseOf(n.self.Name))
		}
	}
}

func TestLeaseExpiresFirstOnUnreachableHost(t *testing.T) {
	t.Parallel()
	for _, direction := range []string{"both", "to", "from"} {
		c := qt.New(t)
		nw := joined(c, 16, 3, 7)
		nw.lossRate = 0.02
		leader, partitioned := nw.nodes[0], nw.nodes[17]
		leader.core.SetLeading(true)
		nw.run(10 * time.Second)
		for _, n := range nw.nodes {
			c.Check(n.lease(nw).Expired, qt.IsFalse, qt.Commentf("%s %+v", n.self.Name, n.lease(nw)))
		}
		nw.blocked = func(from, to *node) bool {
			return (to == partitioned && direction != "from") || (from == partitioned && direction != "to")
		}
		for range 60 {
			nw.run(500 * time.Millisecond)
			checkLeases(c, nw, leader)
		}
		c.Check(partitioned.lease(nw).Expired, qt.IsTrue, qt.Commentf(direction))
		c.Check(leader.core.LeaseOf(partitioned.self.Name).Expired, qt.IsTrue, qt.Commentf(direction))
		nw.blocked = nil
		nw.run(15 * time.Second)
		c.Check(partitioned.lease(nw).Expired, qt.IsFalse, qt.Commentf(direction))
	}
}

func TestLeaseSurvivesChangeOfLeaderAndClockJump(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 17, 3, 7)
	nw.lossRate = 0.02
	leader := nw.nodes[0]
	leader.core.SetLeading(true)
	nw.run(10 * time.Second)
	leader.core.SetLeading(false)
	leader = nw.nodes[7]
	leader.core.SetLeading(true)
	leader.skew = time.Hour // must not expire the leases of others
	for range 40 {
		nw.run(500 * time.Millisecond)
		checkLeases(c, nw, leader)
	}
	for _, n := range nw.nodes {
		c.Check(n.lease(nw).Expired, qt.IsFalse, qt.Commentf("%s %+v", n.self.Name, n.lease(nw)))
	}
}

func TestLeaderLearnsRevisionInForce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	nw := joined(c, 18, 3, 7)
	nw.lossRate = 0.02
	leader := nw.nodes[0]
	leader.core.SetLeading(true)
	nw.run(5 * time.Second)
	stuck := nw.nodes[20]
	for _, n := range nw.nodes {
		if n != stuck {
			n.core.SetRevision(700)
		}
	}
	took := nw.runUntil(10*time.Second, func() bool {
		for _, h := range leader.core.Hosts() {
			if h.Revision != 700 && h.Name != stuck.self.Name {
				return false
			}
		}
		return true
	})
	t.Logf("leader knew the revision after %v", took)
	c.Check(took <= 2*time.Second, qt.IsTrue)
	nw.run(5 * time.Second)
	for _, n := range nw.nodes {
		for _, h := range n.core.Hosts() {
			c.Check(h.Revision == 700, qt.Equals, h.Name != stuck.self.Name, qt.Commentf("%s of %s", n.self.Name, h.Name))
		}
	}
}
