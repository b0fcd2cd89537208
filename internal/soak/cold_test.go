package soak

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestColdCheck guards against a check of the bound for cold backend servers that allows
// more than the cases that the design note lists.
func TestColdCheck(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, test := range []struct {
		name     string
		warmth   warmth
		restart  time.Duration // how long ago the entry host started
		faultAgo time.Duration // of the entry host
		every    time.Duration // between two flows
		want     int           // flows until the first violation, 0 for none
	}{
		{"start", warmth{}, time.Hour, time.Hour, 0, 6},
		{"at the bound", warmth{}, time.Hour, time.Hour, 220 * time.Millisecond, 0},
		{"start, entry host cut off", warmth{}, time.Hour, time.Second, 0, 6},
		{"start, entry host restarted", warmth{}, 500 * time.Millisecond, 500 * time.Millisecond, 0, 6},
		{"again, not reported", warmth{again: true}, time.Hour, time.Hour, 0, 0},
		{"again, just reported", warmth{again: true, reportedAt: ago(informBound / 2)}, time.Hour, time.Hour, 0, 0},
		{"again, reported", warmth{again: true, reportedAt: ago(informBound)}, time.Hour, time.Hour, 0, 6},
		{"again, entry host cut off", warmth{again: true, reportedAt: ago(informBound)}, time.Hour, time.Second, 0, 0},
		{"again, evacuation known", warmth{again: true, excluded: true}, time.Hour, time.Hour, 0, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &soak{checks: newChecks(), network: &network{}}
			s.entries = []*process{s.newProcess(4, false)}
			s.entries[0].startedAt, s.entries[0].disturbedAt = ago(test.restart), ago(test.faultAgo)
			b := &backend{soak: s, warmth: test.warmth}
			b.warmth.until = now.Add(warmup)
			got := 0
			for n := range 8 {
				b.checkCold(now.Add(time.Duration(n)*test.every), netip.MustParseAddr(s.layout.ip(4)))
				if got == 0 && len(s.checks.report().Violations) > 0 {
					got = n + 1
				}
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
