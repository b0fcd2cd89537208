package follow

import (
	"sync"
	"time"
)

// Freshness tracks when a host's state was last known to be current. It is safe for
// concurrent use.
type Freshness struct {
	mu   sync.Mutex
	asOf time.Time
}

// Confirm records the answer to a pull. answered is the earliest time at which the
// source may have answered: the time of sending plus the time for which the source held
// the pull open. The source's state was last known to be current age before its answer.
// With this bound a slow network never makes a state appear newer than it is.
func (f *Freshness) Confirm(answered time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf := answered.Add(-age); asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// Age returns how long ago the state was last known to be current, or false if it
// never was.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(f.asOf), 0), true
}
