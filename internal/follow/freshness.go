package follow

import (
	"sync"
	"time"
)

// Freshness tells how long ago a host's state was last known to be current.
// It is safe for concurrent use.
type Freshness struct {
	mu   sync.Mutex
	asOf time.Time
}

// Confirm notes an answer to a pull. The source answered no earlier than
// answered, and its state was known to be current age before that. With the
// time of sending plus the time that the source held the pull open as
// answered, a slow network never makes a state look newer than it is.
func (f *Freshness) Confirm(answered time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf := answered.Add(-age); asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// Age returns how long ago the state was last known to be current. It reports
// false if it never was.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.asOf), 0), true
}
