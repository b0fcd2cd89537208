package fence

import "github.com/cespare/xxhash/v2"

// Member is a host that can be a home.
type Member struct {
	Name string
	Zone string
}

// First returns the member that is preferred as home of the unit, by rendezvous
// hashing: when a member leaves, only its own units move. It reports false if
// there is none.
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
