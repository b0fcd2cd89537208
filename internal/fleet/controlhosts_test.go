package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The timeout of attempts starts short and doubles up to dialTimeout, so that a
// cold host also reaches hosts that are far away.
func TestColdDialTimeoutDoubles(t *testing.T) {
	hosts := &controlHosts{cold: true}
	h := &knownHost{}
	var timeouts []time.Duration
	for h.failures = 0; h.failures < 13; h.failures += coldFailuresPerDoubling {
		timeout, retryDelay := hosts.nextAttempt(h)
		qt.Check(t, retryDelay, qt.Equals, coldRedialDelay)
		timeouts = append(timeouts, timeout)
	}
	want := []time.Duration{coldDialTimeout, 2 * coldDialTimeout, 4 * coldDialTimeout, 8 * coldDialTimeout, dialTimeout}
	qt.Check(t, timeouts, qt.DeepEquals, want)
}

func TestWarmRetryDelayDoubles(t *testing.T) {
	hosts := &controlHosts{}
	h := &knownHost{}
	for _, want := range []time.Duration{redialDelay, 2 * redialDelay, 4 * redialDelay, 8 * redialDelay, maxRedialDelay, maxRedialDelay} {
		timeout, retryDelay := hosts.nextAttempt(h)
		qt.Check(t, timeout, qt.Equals, dialTimeout)
		qt.Check(t, retryDelay, qt.Equals, want)
		h.retryDelay = retryDelay
	}
}
