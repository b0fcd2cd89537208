package raft

import (
	"time"

	"greengagequay/internal/fault"
)

// Ready is a batch of output. The caller persists Snapshot, HardState and
// Entries, then sends Messages, then applies Snapshot and Committed, and then
// calls Advance.
type Ready struct {
	HardState  HardState
	MustSync   bool      // HardState and Entries hold news that messages rely on
	Snapshot   *Snapshot // replaces log and state
	Entries    []Entry   // to persist; they replace entries with the same or a higher index
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}

// Ready returns the output since the last call, and false if there is none.
func (n *Node) Ready() (Ready, bool) {
	r := Ready{
		HardState:  HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit},
		Snapshot:   n.install,
		Entries:    n.log.slice(n.log.stable, n.log.last(), maxUncommittedBytes),
		Messages:   n.messages,
		ReadStates: n.readStates,
	}
	r.Committed = n.log.slice(n.log.applied, min(n.log.commit, n.log.stable+uint64(len(r.Entries))), maxUncommittedBytes)
	n.install, n.messages, n.readStates = nil, nil, nil
	r.MustSync = r.HardState.Term != n.saved.Term || r.HardState.Vote != n.saved.Vote || len(r.Entries) > 0 || r.Snapshot != nil
	news := r.MustSync || len(r.Messages) > 0 || len(r.Committed) > 0 || len(r.ReadStates) > 0
	return r, news
}

// Advance notes that the caller has done what the batch asks for.
func (n *Node) Advance(r Ready) {
	n.saved = r.HardState
	if k := len(r.Entries); k > 0 {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if n.role != Leader {
		return
	}
	// The leader's own disk counts for the quorum only once it is synced.
	n.progress[n.cfg.ID].matched(n.log.stable)
	n.maybeCommit()
}

// Compact makes a snapshot of the state after the last applied entry and drops
// entries but for the given number, which members that lag a little still
// get one by one. The caller persists the snapshot.
func (n *Node) Compact(data []byte, keep uint64) (Snapshot, error) {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok || index == 0 {
		return Snapshot{}, fault.New(fault.Invalid, "take it after the next change", "there is nothing to make a snapshot of")
	}
	s := Snapshot{Index: index, Term: term, Membership: n.log.membershipUpTo(index), Data: data}
	n.snapshot = &s
	if index > keep {
		n.log.compact(index - keep)
	}
	return s, nil
}

// Status is what a member knows about itself and the log.
type Status struct {
	ID         ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	Last       uint64
	Current    bool          // a quorum was in contact within the election timeout
	ContactAge time.Duration // since a quorum was last in contact, directly or through the leader
	LeaseLeft  time.Duration // for which no other member can lead, 0 unless this one does
	Match      map[ID]uint64 // on the leader, the last entry on each member's disk
	CaughtUp   map[ID]bool   // on the leader, see Node.CaughtUp
}

// Status returns the state at the given time.
func (n *Node) Status(now time.Duration) Status {
	n.now = max(n.now, now)
	age := n.contactAge()
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(),
		ContactAge: age, Current: n.leader != 0 && age < n.cfg.ElectionTimeout, LeaseLeft: n.leaseLeft(),
	}
	if n.role == Leader {
		s.Match, s.CaughtUp = map[ID]uint64{}, map[ID]bool{}
		for id, p := range n.progress {
			s.Match[id] = p.match
			s.CaughtUp[id] = n.CaughtUp(id)
		}
	}
	return s
}
