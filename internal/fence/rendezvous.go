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
		all[i] = scored{m, scoreOf(unit, m)}
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

// First returns the first member of Rank, without ranking the others. It
// reports false if there is none.
func First(unit string, members []Member) (first Member, ok bool) {
	var best uint64
	for _, m := range members {
		score := scoreOf(unit, m)
		if !ok || before(score, m, best, first) {
			first, best, ok = m, score, true
		}
	}
	return first, ok
}

// Pair returns home and backup of a unit. The backup is in another zone if
// there is one, and empty if there is no second member.
func Pair(unit string, members []Member) (home, backup Member) {
	home, ok := First(unit, members)
	if !ok {
		return Member{}, Member{}
	}
	var best uint64
	found := false
	for _, m := range members {
		if m == home {
			continue
		}
		score := scoreOf(unit, m)
		near, nearBest := m.Zone == home.Zone, backup.Zone == home.Zone
		if !found || near != nearBest && nearBest || near == nearBest && before(score, m, best, backup) {
			backup, best, found = m, score, true
		}
	}
	return home, backup
}

func scoreOf(unit string, m Member) uint64 { return xxhash.Sum64String(unit + "\x00" + m.Name) }

// before reports whether member a with its score ranks before member b.
func before(scoreA uint64, a Member, scoreB uint64, b Member) bool {
	return scoreA > scoreB || scoreA == scoreB && a.Name < b.Name
}
