package raft

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A member that has just started campaigns before a whole election timeout has
// passed, unless a lease may rely on it.
func TestFirstElectionAfterARestart(t *testing.T) {
	for seed := range uint64(20) {
		for _, quorumReads := range []bool{false, true} {
			c := newCluster(t, seed, 5)
			c.waitAppliedOnAll(c.propose("x"))
			for _, id := range c.ids() {
				c.crash(id)
			}
			c.inFlight = nil
			c.quorumReads = quorumReads
			c.startMember(2, c.disks[2])
			campaigned := false
			c.trace = func(m Message) { campaigned = campaigned || m.Type == MsgPreVote }
			c.advance(testElectionTimeout - testTickInterval)
			qt.Assert(t, campaigned, qt.Equals, quorumReads, qt.Commentf("seed %d", seed))
		}
	}
}

// A restarted member that campaigns early does not depose a leader that works.
func TestEarlyElectionDoesNotDepose(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(t, seed, 5)
		c.quorumReads = true
		leader := c.waitForLeader()
		term := c.nodes[leader].term
		restarted := ID(1 + seed%5)
		if restarted == leader {
			restarted = 1 + restarted%5
		}
		c.crash(restarted)
		c.startMember(restarted, c.disks[restarted])
		c.advance(5 * testElectionTimeout)
		qt.Assert(t, c.nodes[leader].term, qt.Equals, term, qt.Commentf("seed %d", seed))
		qt.Assert(t, c.nodes[leader].role, qt.Equals, Leader, qt.Commentf("seed %d", seed))
	}
}
