package soak

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/quaydtest"
)

// seeds are the seeds that CI runs: an initial one, and each seed that ever
// failed, with the cause of the failure.
var seeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, 8 * time.Second, "initial seed"},
	{3, 10 * time.Second, "the soak paused an entry host after SIGTERM, and reported that it did not end in time"},
	{16, 10 * time.Second, "two faults stopped the same entry host concurrently, and the soak started it twice"},
	{7207, 12 * time.Second, "an entry host refused the copy of an opening packet whose original another one had placed"},
	{7210, 12 * time.Second, "all writes to disk waited for 7 s, apparently, so that a host did not end in time"},
	{42117, 12 * time.Second, "an entry host that had been paused reset a flow, since it handled an original and its copy within a millisecond"},
	{48044, 12 * time.Second, "the soak wiped two of three voters: it counted a third one that had been removed and did not know it"},
	{7310, 12 * time.Second, "a control host restarted with an invalid announcement from before the first document in its hint file"},
}

func TestSeeds(t *testing.T) {
	program := quaydtest.Build(t)
	for _, s := range seeds {
		folder := t.TempDir()
		report, err := Run(context.Background(), Config{Quayd: program, Folder: folder, Seed: s.seed, Length: s.length, Out: os.Stdout})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("seed %d (%s): %v", s.seed, s.cause, report)
		qt.Check(t, report.Violations, qt.HasLen, 0)
	}
}

// Guards against a soak that takes the disk of a second voter before the first is
// replaced, since it counts a host that was removed from the log.
func TestVoterWithoutAQuorumDoesNotCount(t *testing.T) {
	for metrics, want := range map[string]bool{
		"control.contact_age_ms 20\ncontrol.votes 1\n":    true,
		"control.contact_age_ms 999\ncontrol.votes 1\n":   true,
		"control.contact_age_ms 1000\ncontrol.votes 1\n":  false,
		"control.contact_age_ms 86000\ncontrol.votes 1\n": false,
		"control.votes 1\n":                               false,
	} {
		qt.Check(t, hasQuorum([]byte(metrics)), qt.Equals, want, qt.Commentf(metrics))
	}
}
