package raft

import (
	"math"
	"time"

	"greengagequay/internal/fault"
)

// Ready is a batch of output. The caller persists Snapshot, HardState and
// Entries, then sends Messages, then applies Snapshot and Committed, and
// finally calls Advance.
type Ready struct {
	HardState  HardState
	MustSync   bool      // the batch must be on disk before Messages are sent
	Snapshot   *Snapshot // received from the leader; replaces log and state
	Entries    []Entry   // to persist; the first one replaces the stored entries from its index on
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
}

// Ready returns the pending output, and false if there is none. Entries and
// Committed are returned again until Advance is called.
func (n *Node) Ready() (Ready, bool) {
	r := Ready{
		HardState:  HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit},
		Snapshot:   n.receivedSnapshot,
		Entries:    n.log.slice(n.log.stable, n.log.lastIndex(), math.MaxInt), // all of them: Messages and HardState rely on them
		Messages:   n.messages,
		ReadStates: n.readStates,
	}
	r.Committed = n.log.slice(n.log.applied, min(n.log.commit, n.log.stable+uint64(len(r.Entries))), maxUncommittedBytes)
	n.receivedSnapshot, n.messages, n.readStates = nil, nil, nil
	r.MustSync = r.HardState.Term != n.persisted.Term || r.HardState.Vote != n.persisted.Vote || len(r.Entries) > 0 || r.Snapshot != nil
	hasOutput := r.MustSync || len(r.Messages) > 0 || len(r.Committed) > 0 || len(r.ReadStates) > 0
	return r, hasOutput
}

// Advance records that the caller has persisted, sent and applied the batch.
func (n *Node) Advance(r Ready) {
	n.persisted = r.HardState
	// Entries that were replaced since Ready are not on disk.
	if k := len(r.Entries); k > 0 && n.log.matches(r.Entries[k-1].Index, r.Entries[k-1].Term) {
		n.log.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		n.log.applied = r.Committed[k-1].Index
	}
	if n.role != Leader {
		return
	}
	// The leader counts its own entries towards the quorum only once they are on
	// disk.
	n.progress[n.cfg.ID].advanceMatch(n.log.stable)
	n.maybeCommit()
}

// Compact makes a snapshot from data, which must encode the state after the last
// applied entry. It drops the entries that the snapshot covers, except for the
// last keep ones, which members that lag only slightly can still receive, or fewer
// if these are larger than the snapshot and than what may be on its way to a member.
// The caller persists the snapshot.
func (n *Node) Compact(data []byte, keep uint64) (Snapshot, error) {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok || index == 0 {
		return Snapshot{}, fault.New(fault.Invalid, "take the snapshot after the next change", "no entry has been applied yet")
	}
	s := Snapshot{Index: index, Term: term, Membership: n.log.membershipAsOf(index), Data: data}
	n.snapshot = &s
	n.log.compact(n.log.trailingStart(index, keep, max(len(data), maxInflightBytes)))
	return s, nil
}

// Status is a member's view of itself and the log.
type Status struct {
	ID         ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	Last       uint64
	Current    bool          // a leader is known and ContactAge is below the election timeout
	ContactAge time.Duration // time since the last contact with a quorum, directly or through the leader
	LeaseLeft  time.Duration // time for which no other member can become leader; 0 unless this one leads
	Match      map[ID]uint64 // on the leader, index of the last entry on each member's disk
	CaughtUp   map[ID]bool   // on the leader, the results of Node.CaughtUp
}

// Status returns the status at the given time.
func (n *Node) Status(now time.Duration) Status {
	n.now = max(n.now, now)
	age := n.contactAge()
	s := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.lastIndex(),
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
