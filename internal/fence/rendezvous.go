package fence

import "github.com/cespare/xxhash/v2"

// Member is a host that can be a home.
type Member struct {
	Name string
	Zone string
}

// PreferredHome returns the home of the unit by rendezvous hashing: when a
// member leaves, only its own units move. It reports false if there are no
// members.
func PreferredHome(unit string, members []Member) (home Member, ok bool) {
	var best uint64
	for _, m := range members {
		score := scoreOf(unit, m)
		if !ok || ranksBefore(score, m, best, home) {
			home, best, ok = m, score, true
		}
	}
	return home, ok
}

// HomeAndBackup returns the home and the backup of a unit. The backup is in a
// different zone than the home if possible, and empty if there is only one
// member.
func HomeAndBackup(unit string, members []Member) (home, backup Member) {
	home, ok := PreferredHome(unit, members)
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
		sameZone, bestSameZone := m.Zone == home.Zone, backup.Zone == home.Zone
		if !found || sameZone != bestSameZone && bestSameZone || sameZone == bestSameZone && ranksBefore(score, m, best, backup) {
			backup, best, found = m, score, true
		}
	}
	return home, backup
}

func scoreOf(unit string, m Member) uint64 { return xxhash.Sum64String(unit + "\x00" + m.Name) }

// ranksBefore reports whether member a ranks before member b. The higher score
// ranks first; members with equal scores rank by name.
func ranksBefore(scoreA uint64, a Member, scoreB uint64, b Member) bool {
	return scoreA > scoreB || scoreA == scoreB && a.Name < b.Name
}
