package raft

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/fault"
)

// MaxVoters is the largest number of voters.
const MaxVoters = 7

// Member is one host that holds the log.
type Member struct {
	ID    ID
	Name  string
	Addr  string // RPC address, IP:port
	Voter bool   // false for a learner, which does not count for a quorum
}

// Membership lists the members.
type Membership struct {
	Members []Member
}

// Find returns the member with the ID.
func (m Membership) Find(id ID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Named returns the member with the name.
func (m Membership) Named(name string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether the member with the ID is a voter.
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

// Add returns the membership with a new learner.
func (m Membership) Add(x Member) (Membership, error) {
	if old, ok := m.Named(x.Name); ok && old.ID != x.ID {
		return m, fault.New(fault.Conflict, "remove the member first; its disk was lost or replaced", "member %q has another identity", x.Name)
	}
	if _, ok := m.Find(x.ID); ok {
		return m, nil // repeated after a lost answer
	}
	x.Voter = false
	return Membership{Members: append(slices.Clone(m.Members), x)}, nil
}

// Promote returns the membership with the learner made a voter.
func (m Membership) Promote(name string) (Membership, error) {
	x, ok := m.Named(name)
	switch {
	case !ok:
		return m, notMember(name)
	case x.Voter:
		return m, nil // repeated after a lost answer
	case len(m.Voters()) >= MaxVoters:
		return m, fault.New(fault.Invalid, "remove a voter first", "%d voters are the most there can be", MaxVoters)
	}
	next := slices.Clone(m.Members)
	for i := range next {
		next[i].Voter = next[i].Voter || next[i].ID == x.ID
	}
	return Membership{Members: next}, nil
}

// Remove returns the membership without the member.
func (m Membership) Remove(name string) (Membership, error) {
	x, ok := m.Named(name)
	switch {
	case !ok:
		return m, notMember(name)
	case x.Voter && len(m.Voters()) == 1:
		return m, fault.New(fault.Invalid, "add and promote another member first", "member %q is the only voter", name)
	}
	next := slices.DeleteFunc(slices.Clone(m.Members), func(y Member) bool { return y.ID == x.ID })
	return Membership{Members: next}, nil
}

func notMember(name string) error {
	return fault.New(fault.NotFound, "see 'quayctl control members'", "member %q does not exist", name)
}

// EncodeMembership returns the stored form of a membership.
func EncodeMembership(m Membership) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return data
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fault.New(fault.Corrupt, "remove the data folder and add the host as a learner", "decode membership: %w", err)
	}
	return m, nil
}
