// Package reconfig changes the membership of the replicated log without an
// operator. It adds new hosts as learners, promotes learners that have caught
// up, and removes members that lost their disk or are unreachable. Only the
// leader applies the changes, so a partitioned minority cannot change the
// membership. The package has no I/O, clock or goroutines.
package reconfig

import (
	"time"

	"greengagequay/internal/raft"
)

// Times after which an unreachable member is removed.
const (
	voterRemovalDelay   = 2500 * time.Millisecond // only if a learner can replace it
	learnerRemovalDelay = 30 * time.Second
)

// Host is a control host that is connected to the leader, or the leader itself.
type Host struct {
	ID   raft.ID
	Addr string
	Zone string
}

// ClusterState is the leader's view of the control hosts and the membership.
type ClusterState struct {
	Self           raft.ID // the leader
	Membership     raft.Membership
	Hosts          []Host                    // connected now, the leader included
	UnreachableFor map[raft.ID]time.Duration // members that are not connected, and for how long
	CaughtUp       map[raft.ID]bool          // members that hold all committed entries
	TargetVoters   int                       // number of voters to reach and keep
}

// Action is the kind of a membership change.
type Action string

// The actions.
const (
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is a change of one member.
type Change struct {
	Action Action
	Member raft.Member
	Reason string
}

// Next returns the next change to make, and false if none is needed.
func Next(s ClusterState) (Change, bool) {
	for _, rule := range []func(ClusterState) (Change, bool){removeReplaced, promoteLearner, removeUnreachable, addNewHost} {
		if change, ok := rule(s); ok {
			return change, true
		}
	}
	return Change{}, false
}

// removeReplaced removes a member if a host with another ID, and so with
// another data folder, is connected under its address: the member's disk is
// lost.
func removeReplaced(s ClusterState) (Change, bool) {
	for _, m := range s.Membership.Members {
		for _, h := range s.Hosts {
			if h.Addr == m.Addr && h.ID != m.ID && s.canRemove(m) {
				return Change{Remove, m, "a host with another data folder has its address"}, true
			}
		}
	}
	return Change{}, false
}

// promoteLearner promotes a learner while there are too few voters. It prefers
// the zone with the fewest connected voters.
func promoteLearner(s ClusterState) (Change, bool) {
	if len(s.Membership.Voters()) >= s.TargetVoters {
		return Change{}, false
	}
	best, found := raft.Member{}, false
	for _, m := range s.promotableLearners() {
		if !found || s.votersIn(s.zoneOf(m)) < s.votersIn(s.zoneOf(best)) {
			best, found = m, true
		}
	}
	return Change{Promote, best, "there are too few voters"}, found
}

// removeUnreachable removes an unreachable voter if a learner can replace it,
// and learners that stay unreachable.
func removeUnreachable(s ClusterState) (Change, bool) {
	for _, m := range s.Membership.Members {
		duration, unreachable := s.UnreachableFor[m.ID]
		switch {
		case !unreachable || !s.canRemove(m):
		case m.Voter && duration >= voterRemovalDelay && len(s.promotableLearners()) > 0:
			return Change{Remove, m, "it is unreachable and a learner can replace it"}, true
		case !m.Voter && duration >= learnerRemovalDelay:
			return Change{Remove, m, "it is unreachable"}, true
		}
	}
	return Change{}, false
}

// addNewHost adds a connected host as a learner if it is not a member yet.
func addNewHost(s ClusterState) (Change, bool) {
	for _, h := range s.Hosts {
		if _, member := s.Membership.Find(h.ID); member {
			continue
		}
		if _, taken := s.Membership.FindByName(h.Addr); taken {
			continue // the earlier member at this address must be removed first
		}
		return Change{Add, raft.Member{ID: h.ID, Name: h.Addr, Addr: h.Addr}, "it is not a member yet"}, true
	}
	return Change{}, false
}

// canRemove reports whether the member may be removed. The leader must stay,
// and a voter may be removed only if a quorum of the remaining voters is
// reachable.
func (s ClusterState) canRemove(m raft.Member) bool {
	if m.ID == s.Self {
		return false
	}
	if !m.Voter {
		return true
	}
	remaining := len(s.Membership.Voters()) - 1
	reachable := 0
	for _, id := range s.Membership.Voters() {
		if _, unreachable := s.UnreachableFor[id]; !unreachable && id != m.ID {
			reachable++
		}
	}
	return remaining >= 1 && reachable >= remaining/2+1
}

// promotableLearners returns the learners that are reachable and caught up.
func (s ClusterState) promotableLearners() []raft.Member {
	var list []raft.Member
	for _, m := range s.Membership.Members {
		_, unreachable := s.UnreachableFor[m.ID]
		if !m.Voter && !unreachable && s.CaughtUp[m.ID] {
			list = append(list, m)
		}
	}
	return list
}

func (s ClusterState) zoneOf(m raft.Member) string {
	for _, h := range s.Hosts {
		if h.ID == m.ID {
			return h.Zone
		}
	}
	return ""
}

func (s ClusterState) votersIn(zone string) int {
	count := 0
	for _, id := range s.Membership.Voters() {
		for _, h := range s.Hosts {
			if h.ID == id && h.Zone == zone {
				count++
			}
		}
	}
	return count
}
