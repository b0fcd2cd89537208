package fence

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTakeoverVerdict(t *testing.T) {
	marks := func(m ...Mark) []Mark { return m }
	tests := []struct {
		name    string
		reports []Report
		want    Verdict
		served  Epoch
	}{
		{"no report", nil, Pending, 0},
		{"never served", []Report{{Host: "a/1", Since: 5}, {Host: "b/1", Since: 5}}, Fresh, 0},
		{"all processes that were ever listed have reported", []Report{{Host: "a/1", Since: 50}, {Host: "b/9", Since: 50}}, Fresh, 0},
		{"a process was listed after the unit was created", []Report{{Host: "a/1", Since: 5}, {Host: "b/2", Since: 20}}, Lost, 0},
		{"last home has all records", []Report{{Host: "a/1", Served: 3, Opened: 3}, {Host: "b/1", Marks: marks(Mark{3, "a/1"})}}, Complete, 3},
		{"last home has restarted", []Report{{Host: "a/2"}, {Host: "b/1", Marks: marks(Mark{3, "a/1"})}}, Lost, 0},
		{"next home never served", []Report{{Host: "a/1", Served: 3, Opened: 3}, {Host: "b/1", Marks: marks(Mark{3, "a/1"}, Mark{4, "b/1"})}}, Complete, 3},
		{"next home served and has restarted", []Report{{Host: "a/1", Served: 3, Opened: 3}, {Host: "b/2", Marks: marks(Mark{3, "a/1"}, Mark{4, "b/1"})}}, Lost, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			takeover := NewTakeover(9, 10, []string{"a", "b"}, []string{"a/1", "b/9"})
			for i, r := range test.reports {
				takeover.Add([]string{"a", "b"}[i], r)
			}
			verdict, served := takeover.Result()
			c.Assert(verdict, qt.Equals, test.want)
			c.Assert(served, qt.Equals, test.served)
		})
	}
}

func TestOlderClaimsAreRejected(t *testing.T) {
	c := qt.New(t)
	var m Marks
	c.Assert(m.Advance(Mark{4, "a/1"}), qt.IsTrue)
	c.Assert(m.Advance(Mark{4, "a/1"}), qt.IsTrue)
	c.Assert(m.Advance(Mark{4, "a/2"}), qt.IsFalse)
	c.Assert(m.Advance(Mark{3, "b/1"}), qt.IsFalse)
	c.Assert(m.Allows(3), qt.IsFalse)
	c.Assert(m.Allows(4), qt.IsTrue)
}

func TestLeavingMemberMovesOnlyItsOwnUnits(t *testing.T) {
	c := qt.New(t)
	members := []Member{{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}}
	for i := range 200 {
		unit := fmt.Sprint(i)
		before, after := rank(unit, "x", members), rank(unit, "x", members[1:])
		c.Assert(before[0].Zone, qt.Equals, "x")
		if before[0].Name != "a" {
			c.Assert(after[0], qt.Equals, before[0])
		}
		home, backup := HomeAndBackup(unit, members)
		c.Assert(home.Zone, qt.Not(qt.Equals), backup.Zone)
	}
}

// PreferredHome and HomeAndBackup must match the complete ranking.
func TestHomeAndBackupMatchRank(t *testing.T) {
	c := qt.New(t)
	for size := range 8 {
		var members []Member
		for i := range size {
			members = append(members, Member{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3)})
		}
		for unit := range 100 {
			name := fmt.Sprint(unit)
			ranked := rank(name, "", members)
			home, backup := HomeAndBackup(name, members)
			first, ok := PreferredHome(name, members)
			c.Assert(ok, qt.Equals, size > 0)
			if size == 0 {
				continue
			}
			c.Assert(home, qt.Equals, ranked[0])
			c.Assert(first, qt.Equals, ranked[0])
			want := Member{}
			for _, m := range ranked[1:] {
				if want == (Member{}) || m.Zone != home.Zone && want.Zone == home.Zone {
					want = m
				}
			}
			c.Assert(backup, qt.Equals, want)
		}
	}
}

// rank returns the members in the order of preference as home of the unit, by
// rendezvous hashing: when a member leaves, only its own units move. Members in
// the given zone come first; an empty zone means no preference.
func rank(unit, zone string, members []Member) []Member {
	type scored struct {
		Member
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, scoreOf(unit, m)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if order := cmp.Compare(zoneRank(a.Member, zone), zoneRank(b.Member, zone)); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Member, len(all))
	for i, s := range all {
		ranked[i] = s.Member
	}
	return ranked
}

func zoneRank(m Member, zone string) int {
	if zone == "" || m.Zone == zone {
		return 0
	}
	return 1
}
