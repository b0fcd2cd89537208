package council

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/raft"
)

// group describes a situation in short: voters and learners by number, the
// hosts in touch by number; host n has the address "hn" and the zone "zn".
type group struct {
	voters, learners, hosts []int
	unseen                  map[int]time.Duration
	wanted                  int
}

func (g group) situation() Situation {
	s := Situation{Self: 1, Voters: g.wanted, Unseen: map[raft.ID]time.Duration{}, CaughtUp: map[raft.ID]bool{}}
	for _, n := range g.voters {
		s.Membership.Members = append(s.Membership.Members, member(n, true))
	}
	for _, n := range g.learners {
		s.Membership.Members = append(s.Membership.Members, member(n, false))
		s.CaughtUp[raft.ID(n)] = true
	}
	for _, n := range g.hosts {
		s.Hosts = append(s.Hosts, host(n))
	}
	for n, away := range g.unseen {
		s.Unseen[raft.ID(n)] = away
	}
	return s
}

// place returns the number of the machine at which a data folder lives: 13 is
// the second one of machine 3.
func place(n int) int { return n % 10 }

func member(n int, voter bool) raft.Member {
	addr := fmt.Sprintf("h%d", place(n))
	return raft.Member{ID: raft.ID(n), Name: addr, Addr: addr, Voter: voter}
}

func host(n int) Host {
	return Host{ID: raft.ID(n), Addr: fmt.Sprintf("h%d", place(n)), Zone: fmt.Sprintf("z%d", place(n))}
}

func TestNext(t *testing.T) {
	long, short := time.Minute, time.Second
	tests := []struct {
		name  string
		group group
		want  string // empty: nothing to do
	}{
		{"all well", group{voters: []int{1, 2, 3}, hosts: []int{1, 2, 3}, wanted: 3}, ""},
		{"newcomer", group{voters: []int{1, 2, 3}, hosts: []int{1, 2, 3, 4}, wanted: 3}, "add 4"},
		{"spare learner waits", group{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3, 4}, wanted: 3}, ""},
		{"too few voters", group{voters: []int{1, 2}, learners: []int{4}, hosts: []int{1, 2, 4}, wanted: 3}, "promote 4"},
		{"learner out of touch is not promoted", group{voters: []int{1, 2}, learners: []int{4}, hosts: []int{1, 2}, unseen: map[int]time.Duration{4: short}, wanted: 3}, ""},
		{"voter away, nobody to take its place", group{voters: []int{1, 2, 3}, hosts: []int{1, 2}, unseen: map[int]time.Duration{3: long}, wanted: 3}, ""},
		{"voter away for a moment", group{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 4}, unseen: map[int]time.Duration{3: short}, wanted: 3}, ""},
		{"voter away", group{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 4}, unseen: map[int]time.Duration{3: long}, wanted: 3}, "remove 3"},
		{"disk lost", group{voters: []int{1, 2, 3}, hosts: []int{1, 2, 13}, unseen: map[int]time.Duration{3: short}, wanted: 3}, "remove 3"},
		{"disk lost, the rest too weak", group{voters: []int{1, 2, 3}, hosts: []int{1, 13}, unseen: map[int]time.Duration{2: short, 3: short}, wanted: 3}, ""},
		{"learner's disk lost", group{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3, 14}, unseen: map[int]time.Duration{4: short}, wanted: 3}, "remove 4"},
		{"learner away for good", group{voters: []int{1, 2, 3}, learners: []int{4}, hosts: []int{1, 2, 3}, unseen: map[int]time.Duration{4: long}, wanted: 3}, "remove 4"},
		{"fewer than half of five", group{voters: []int{1, 2, 3, 4, 5}, learners: []int{6}, hosts: []int{1, 2, 6}, unseen: map[int]time.Duration{3: long, 4: long, 5: long}, wanted: 5}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			step, due := Next(tt.group.situation())
			got := ""
			if due {
				got = fmt.Sprintf("%s %d", step.Verb, step.Member.ID)
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestZoneWithoutAVoterGoesFirst(t *testing.T) {
	s := group{voters: []int{1, 2}, learners: []int{4, 5}, hosts: []int{1, 2, 4, 5}, wanted: 3}.situation()
	s.Hosts[2].Zone = "z1"
	step, _ := Next(s)
	qt.Assert(t, step.Member.ID, qt.Equals, raft.ID(5))
}

// Random losses: the rules end, never leave fewer voters in touch than a
// quorum, never remove the leader, and reach the wanted size if hosts suffice.
func TestRulesEnd(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		g := group{voters: []int{1, 2, 3}, hosts: []int{1}, wanted: 3, unseen: map[int]time.Duration{}}
		for n := 2; n <= 5; n++ {
			switch rng.IntN(3) {
			case 0:
				g.hosts = append(g.hosts, n)
			case 1:
				g.hosts = append(g.hosts, 10+n)
				g.unseen[n] = time.Minute
			default:
				g.unseen[n] = time.Minute
			}
		}
		s := g.situation()
		if inTouch(s) < s.Membership.Quorum() {
			continue // there is no leader
		}
		steps := 0
		for step, due := Next(s); due; step, due = Next(s) {
			s = apply(t, s, step)
			steps++
			qt.Assert(t, inTouch(s) >= s.Membership.Quorum(), qt.IsTrue, qt.Commentf("seed %d: %v", seed, step))
			qt.Assert(t, s.Membership.IsVoter(1), qt.IsTrue)
			qt.Assert(t, steps < 20, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
		qt.Assert(t, inTouch(s) >= min(3, len(g.hosts)), qt.IsTrue, qt.Commentf("seed %d: %v", seed, s.Membership))
	}
}

func inTouch(s Situation) int {
	count := 0
	for _, id := range s.Membership.Voters() {
		if _, unseen := s.Unseen[id]; !unseen {
			count++
		}
	}
	return count
}

func apply(t testing.TB, s Situation, step Step) Situation {
	var err error
	switch step.Verb {
	case Add:
		s.Membership, err = s.Membership.Add(step.Member)
		s.CaughtUp[step.Member.ID] = true
	case Promote:
		s.Membership, err = s.Membership.Promote(step.Member.Name)
	case Remove:
		s.Membership, err = s.Membership.Remove(step.Member.Name)
	}
	qt.Assert(t, err, qt.IsNil)
	return s
}
