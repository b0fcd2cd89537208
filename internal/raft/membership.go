package raft

import (
	"slices"

	"greengagequay/internal/codec"
	"greengagequay/internal/fault"
)

// MaxVoters is the largest number of voters.
const MaxVoters = 7

// Member is a host that holds a replica of the log.
type Member struct {
	ID    ID
	Name  string
	Addr  string // RPC address, IP:port
	Voter bool   // false for a learner, which is not part of a quorum
}

// Membership is the set of members.
type Membership struct {
	Members []Member
}

// Find returns the member with the given ID.
func (m Membership) Find(id ID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// FindByName returns the member with the given name.
func (m Membership) FindByName(name string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether the member with the given ID is a voter.
func (m Membership) IsVoter(id ID) bool {
	x, ok := m.Find(id)
	return ok && x.Voter
}

// Voters returns the IDs of the voters.
func (m Membership) Voters() []ID {
	var ids []ID
	for _, x := range m.Members {
		if x.Voter {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// Quorum returns the number of voters in a majority.
func (m Membership) Quorum() int { return len(m.Voters())/2 + 1 }

// Add returns the membership with x added as a learner.
func (m Membership) Add(x Member) (Membership, error) {
	if existing, ok := m.FindByName(x.Name); ok && existing.ID != x.ID {
		return m, fault.New(fault.Conflict, "remove the member first; its disk was lost or replaced", "member %q has a different ID", x.Name)
	}
	if _, ok := m.Find(x.ID); ok {
		return m, nil // idempotent, so that a caller can retry
	}
	x.Voter = false
	return Membership{Members: append(slices.Clone(m.Members), x)}, nil
}

// Promote returns the membership with the named learner promoted to a voter.
func (m Membership) Promote(name string) (Membership, error) {
	x, ok := m.FindByName(name)
	switch {
	case !ok:
		return m, errNotMember(name)
	case x.Voter:
		return m, nil // idempotent, so that a caller can retry
	case len(m.Voters()) >= MaxVoters:
		return m, fault.New(fault.Invalid, "remove a voter first", "the maximum is %d voters", MaxVoters)
	}
	next := slices.Clone(m.Members)
	for i := range next {
		next[i].Voter = next[i].Voter || next[i].ID == x.ID
	}
	return Membership{Members: next}, nil
}

// Remove returns the membership without the named member.
func (m Membership) Remove(name string) (Membership, error) {
	x, ok := m.FindByName(name)
	switch {
	case !ok:
		return m, errNotMember(name)
	case x.Voter && len(m.Voters()) == 1:
		return m, fault.New(fault.Invalid, "add and promote another member first", "member %q is the only voter", name)
	}
	next := slices.DeleteFunc(slices.Clone(m.Members), func(y Member) bool { return y.ID == x.ID })
	return Membership{Members: next}, nil
}

func errNotMember(name string) error {
	return fault.New(fault.NotFound, "see 'quayctl control members'", "member %q does not exist", name)
}

// EncodeMembership returns the encoded form of a membership, as in an Entry.
func EncodeMembership(m Membership) []byte {
	data, err := codec.Marshal(m)
	if err != nil {
		panic(err) // cannot happen: all fields are encodable
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := codec.Unmarshal(data, &m); err != nil {
		return m, fault.New(fault.Corrupt, "remove the data folder and add the host as a learner", "decode membership: %w", err)
	}
	return m, nil
}
