// Package council keeps the members of the replicated log fit without an
// operator: it adds hosts that came, promotes learners that have caught up, and
// removes members whose disk is lost or that are gone. Only the leader follows
// its advice, so a minority changes nothing. It is pure.
package council

import (
	"time"

	"greengagequay/internal/raft"
)

// Times after which a member counts as gone.
const (
	voterGoneAfter   = 2500 * time.Millisecond // if a learner can take its place
	learnerGoneAfter = 30 * time.Second
)

// Host is a control host that the leader is in touch with.
type Host struct {
	ID   raft.ID
	Addr string
	Zone string
}

// Situation is what the leader knows.
type Situation struct {
	Self       raft.ID
	Membership raft.Membership
	Hosts      []Host                    // in touch now, without the leader
	Unseen     map[raft.ID]time.Duration // members that are not, and for how long
	CaughtUp   map[raft.ID]bool          // learners that hold all that is committed
	Voters     int                       // wanted
}

// Verb is what to do with a member.
type Verb string

// The verbs.
const (
	Add     Verb = "add"
	Promote Verb = "promote"
	Remove  Verb = "remove"
)

// Step is one change of the membership.
type Step struct {
	Verb   Verb
	Member raft.Member
	Reason string
}

// Next returns the next change, and false if all is well.
func Next(s Situation) (Step, bool) {
	for _, rule := range []func(Situation) (Step, bool){removeReplaced, promoteLearner, removeGone, addNewcomer} {
		if step, ok := rule(s); ok {
			return step, true
		}
	}
	return Step{}, false
}

// removeReplaced removes a member at whose address a host with another data
// folder answers: its disk is lost for good.
func removeReplaced(s Situation) (Step, bool) {
	for _, m := range s.Membership.Members {
		for _, h := range s.Hosts {
			if h.Addr == m.Addr && h.ID != m.ID && s.mayRemove(m) {
				return Step{Remove, m, "its address has another data folder"}, true
			}
		}
	}
	return Step{}, false
}

// promoteLearner makes a learner a voter while there are too few. A zone
// without a voter goes first.
func promoteLearner(s Situation) (Step, bool) {
	if len(s.Membership.Voters()) >= s.Voters {
		return Step{}, false
	}
	best, found := raft.Member{}, false
	for _, m := range s.ready() {
		if !found || s.votersIn(s.zoneOf(m)) < s.votersIn(s.zoneOf(best)) {
			best, found = m, true
		}
	}
	return Step{Promote, best, "there are too few voters"}, found
}

// removeGone removes a voter that is away if a learner can take its place, and
// learners that do not come back.
func removeGone(s Situation) (Step, bool) {
	for _, m := range s.Membership.Members {
		away, unseen := s.Unseen[m.ID]
		switch {
		case !unseen || !s.mayRemove(m):
		case m.Voter && away >= voterGoneAfter && len(s.ready()) > 0:
			return Step{Remove, m, "it is out of touch and a learner can take its place"}, true
		case !m.Voter && away >= learnerGoneAfter:
			return Step{Remove, m, "it is out of touch"}, true
		}
	}
	return Step{}, false
}

// addNewcomer adds a host as a learner.
func addNewcomer(s Situation) (Step, bool) {
	for _, h := range s.Hosts {
		if _, member := s.Membership.Find(h.ID); member {
			continue
		}
		if _, taken := s.Membership.Named(h.Addr); taken {
			continue // the old member has to be removed first
		}
		return Step{Add, raft.Member{ID: h.ID, Name: h.Addr, Addr: h.Addr}, "it is new"}, true
	}
	return Step{}, false
}

// mayRemove reports whether enough voters are in touch without the member.
func (s Situation) mayRemove(m raft.Member) bool {
	if m.ID == s.Self {
		return false
	}
	if !m.Voter {
		return true
	}
	left := len(s.Membership.Voters()) - 1
	inTouch := 0
	for _, id := range s.Membership.Voters() {
		if _, unseen := s.Unseen[id]; !unseen && id != m.ID {
			inTouch++
		}
	}
	return left >= 1 && inTouch >= left/2+1
}

// ready returns the learners that could vote.
func (s Situation) ready() []raft.Member {
	var list []raft.Member
	for _, m := range s.Membership.Members {
		_, unseen := s.Unseen[m.ID]
		if !m.Voter && !unseen && s.CaughtUp[m.ID] {
			list = append(list, m)
		}
	}
	return list
}

func (s Situation) zoneOf(m raft.Member) string {
	for _, h := range s.Hosts {
		if h.ID == m.ID {
			return h.Zone
		}
	}
	return ""
}

func (s Situation) votersIn(zone string) int {
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
