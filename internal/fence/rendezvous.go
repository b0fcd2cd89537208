package fence

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a host that can be a home.
type Member struct {
	Name string
	Zone string
}

// Rank returns the members in the order in which they are preferred as home
// of the unit, by rendezvous hashing: when a member leaves, only its own units
// move. Members of the zone come first; an empty zone prefers none.
func Rank(unit, zone string, members []Member) []Member {
	type scored struct {
		Member
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, xxhash.Sum64String(unit + "\x00" + m.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if near := cmp.Compare(outside(a.Member, zone), outside(b.Member, zone)); near != 0 {
			return near
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Member, len(all))
	for i, s := range all {
		ranked[i] = s.Member
	}
	return ranked
}

func outside(m Member, zone string) int {
	if zone == "" || m.Zone == zone {
		return 0
	}
	return 1
}

// Pair returns home and backup of a unit. The backup is in another zone if
// there is one, and empty if there is no second member.
func Pair(unit string, members []Member) (home, backup Member) {
	ranked := Rank(unit, "", members)
	if len(ranked) == 0 {
		return Member{}, Member{}
	}
	home = ranked[0]
	for _, m := range ranked[1:] {
		if m.Zone != home.Zone {
			return home, m
		}
	}
	if len(ranked) > 1 {
		backup = ranked[1]
	}
	return home, backup
}
