package reconfig

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/raft"
)

// testCluster is a short form of a ClusterState. It lists voters, learners and
// connected hosts by number. Host n has the address "hn" and the zone "zn".
type testCluster struct {
	voters, learners, hosts []int
	unreachableFor          map[int]time.Duration
	targetVoters            int
}

func (tc testCluster) clusterState() ClusterState {
	s := ClusterState{Self: 1, TargetVoters: tc.targetVoters, UnreachableFor: map[raft.ID]time.Duration{}, CaughtUp: map[raft.ID]bool{}}
	for _, n := range tc.voters {
		s.Membership.Members = append(s.Membership.Members, member(n, true))
	}
	for _, n := range tc.learners {
		s.Membership.Members = append(s.Membership.Members, member(n, false))
		s.CaughtUp[raft.ID(n)] = true
	}
	for _, n := range tc.hosts {
		s.Hosts = append(s.Hosts, host(n))
	}
	for n, duration := range tc.unreachableFor {
		s.UnreachableFor[raft.ID(n)] = duration
	}
	return s
}

// hostNumber returns the number of the host that holds a data folder. The
// folder number 13 is the second folder of host 3.
func hostNumber(n int) int { return n % 10 }

func member(n int, voter bool) raft.Member {
	addr := fmt.Sprintf("h%d", hostNumber(n))
	return raft.Member{ID: raft.ID(n), Name: addr, Addr: addr, Voter: voter}
}

func host(n int) Host {
	return Host{ID: raft.ID(n), Addr: fmt.Sprintf("h%d", hostNumber(n)), Zone: fmt.Sprintf("z%d", hostNumber(n))}
}

func TestNext(t *testing.T) {
	long, short := time.Minute, time.Second
	tests := []struct {
		name    string
		cluster testCluster
		want    string // action and member ID; empty for no change
	}{
		{"no change needed", testCluster{voters: []int{1, 2, 3}, hosts: []int{1, 2, 3}, targetVoters: 3}, ""},
		{"new host", testCluster{voters: []int{1, 2, 3}, hosts: []int{1, 2, 3, 4}, targetVoters: 3}, "add 4"},
		{"spare learner is not promoted", testCluster{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3, 4}, targetVoters: 3}, ""},
		{"too few voters", testCluster{voters: []int{1, 2}, learners: []int{4}, hosts: []int{1, 2, 4}, targetVoters: 3}, "promote 4"},
		{"unreachable learner is not promoted", testCluster{voters: []int{1, 2}, learners: []int{4}, hosts: []int{1, 2}, unreachableFor: map[int]time.Duration{4: short}, targetVoters: 3}, ""},
		{"voter unreachable, no learner to replace it", testCluster{voters: []int{1, 2, 3}, hosts: []int{1, 2}, unreachableFor: map[int]time.Duration{3: long}, targetVoters: 3}, ""},
		{"voter unreachable for a short time", testCluster{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 4}, unreachableFor: map[int]time.Duration{3: short}, targetVoters: 3}, ""},
		{"voter unreachable", testCluster{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 4}, unreachableFor: map[int]time.Duration{3: long}, targetVoters: 3}, "remove 3"},
		{"disk lost", testCluster{voters: []int{1, 2, 3}, hosts: []int{1, 2, 13}, unreachableFor: map[int]time.Duration{3: short}, targetVoters: 3}, "remove 3"},
		{"disk lost, no quorum without the member", testCluster{voters: []int{1, 2, 3}, hosts: []int{1, 13}, unreachableFor: map[int]time.Duration{2: short, 3: short}, targetVoters: 3}, ""},
		{"learner's disk lost", testCluster{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3, 14}, unreachableFor: map[int]time.Duration{4: short}, targetVoters: 3}, "remove 4"},
		{"learner unreachable", testCluster{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3}, unreachableFor: map[int]time.Duration{4: long}, targetVoters: 3}, "remove 4"},
		{"only two of five voters reachable", testCluster{voters: []int{1, 2, 3, 4, 5}, learners: []int{6}, hosts: []int{1, 2, 6}, unreachableFor: map[int]time.Duration{3: long, 4: long, 5: long}, targetVoters: 5}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			change, due := Next(tt.cluster.clusterState())
			got := ""
			if due {
				got = fmt.Sprintf("%s %d", change.Action, change.Member.ID)
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestPromotePrefersZoneWithoutVoter(t *testing.T) {
	s := testCluster{voters: []int{1, 2}, learners: []int{4, 5}, hosts: []int{1, 2, 4, 5}, targetVoters: 3}.clusterState()
	s.Hosts[2].Zone = "z1"
	change, _ := Next(s)
	qt.Assert(t, change.Member.ID, qt.Equals, raft.ID(5))
}

// After random losses, the rules must reach a state that needs no further change.
// Until then they must keep the leader and a reachable quorum of voters. At the end
// three voters must be reachable, or all connected hosts if these are fewer.
func TestRulesEnd(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		tc := testCluster{voters: []int{1, 2, 3}, hosts: []int{1}, targetVoters: 3, unreachableFor: map[int]time.Duration{}}
		for n := 2; n <= 5; n++ {
			switch rng.IntN(3) {
			case 0:
				tc.hosts = append(tc.hosts, n)
			case 1:
				tc.hosts = append(tc.hosts, 10+n)
				tc.unreachableFor[n] = time.Minute
			default:
				tc.unreachableFor[n] = time.Minute
			}
		}
		s := tc.clusterState()
		if reachableVoters(s) < s.Membership.Quorum() {
			continue // without a quorum there is no leader
		}
		changes := 0
		for change, due := Next(s); due; change, due = Next(s) {
			s = applyChange(t, s, change)
			changes++
			qt.Assert(t, reachableVoters(s) >= s.Membership.Quorum(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, change))
			qt.Assert(t, s.Membership.IsVoter(1), qt.IsTrue)
			qt.Assert(t, changes < 20, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
		qt.Assert(t, reachableVoters(s) >= min(3, len(tc.hosts)), qt.IsTrue, qt.Commentf("seed %d: %v", seed, s.Membership))
	}
}

func reachableVoters(s ClusterState) int {
	count := 0
	for _, id := range s.Membership.Voters() {
		if _, unreachable := s.UnreachableFor[id]; !unreachable {
			count++
		}
	}
	return count
}

func applyChange(t testing.TB, s ClusterState, change Change) ClusterState {
	var err error
	switch change.Action {
	case Add:
		s.Membership, err = s.Membership.Add(change.Member)
		s.CaughtUp[change.Member.ID] = true
	case Promote:
		s.Membership, err = s.Membership.Promote(change.Member.Name)
	case Remove:
		s.Membership, err = s.Membership.Remove(change.Member.Name)
	}
	qt.Assert(t, err, qt.IsNil)
	return s
}
