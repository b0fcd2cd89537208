// Package clock is the edge to time. Pure cores take the time as an argument;
// adapters take it from a Clock.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time and schedules ticks.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the clock of the machine.
type Real struct{}

// Now returns the current time with its monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// After is time.After.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that a test moves. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock that shows start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time shown.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives once Advance has moved past d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	at := f.now.Add(d)
	if !at.After(f.now) {
		ch <- f.now
		return ch
	}
	f.waiters = append(f.waiters, waiter{at: at, ch: ch})
	return ch
}

// Advance moves the clock and wakes the waiters whose time has come.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at.After(f.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- f.now
	}
	f.waiters = kept
}
