package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Attempts are short at first and reach the whole timeout, so that a host far
// away is reached too.
func TestColdAttemptsGrow(t *testing.T) {
	l := &links{cold: true}
	h := &knownHost{}
	var timeouts []time.Duration
	for h.failures = 0; h.failures < 13; h.failures += coldTries {
		timeout, pause := l.limits(h)
		qt.Check(t, pause, qt.Equals, coldRedialPause)
		timeouts = append(timeouts, timeout)
	}
	want := []time.Duration{coldDialTimeout, 2 * coldDialTimeout, 4 * coldDialTimeout, 8 * coldDialTimeout, dialTimeout}
	qt.Check(t, timeouts, qt.DeepEquals, want)
}

func TestWarmAttemptsPause(t *testing.T) {
	l := &links{}
	h := &knownHost{}
	for _, want := range []time.Duration{redialPause, 2 * redialPause, 4 * redialPause, 8 * redialPause, maxRedialPause, maxRedialPause} {
		timeout, pause := l.limits(h)
		qt.Check(t, timeout, qt.Equals, dialTimeout)
		qt.Check(t, pause, qt.Equals, want)
		h.pause = pause
	}
}
