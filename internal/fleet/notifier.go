package fleet

import (
	"sync"
	"time"
)

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	// interval returns the least time between two calls of wake, 0 if there is none. It
	// is nil if there never is.
	interval func() time.Duration
	publish  func() // called before the goroutines are woken; may be nil

	mu       sync.Mutex
	ch       chan struct{}
	wokenAt  time.Time
	timerSet bool // whether a timer will wake the goroutines
}

func newNotifier() *notifier { return &notifier{ch: make(chan struct{})} }

// next returns a channel that is closed when the goroutines are woken next.
func (n *notifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

// notify wakes all goroutines that wait for the current channel, at once or after
// interval.
func (n *notifier) notify() {
	if n.interval == nil {
		n.wake()
		return
	}
	interval := n.interval()
	n.mu.Lock()
	if n.timerSet {
		n.mu.Unlock()
		return
	}
	wait := time.Until(n.wokenAt.Add(interval))
	n.timerSet = wait > 0
	n.mu.Unlock()
	if wait > 0 {
		time.AfterFunc(wait, n.wake)
		return
	}
	n.wake()
}

func (n *notifier) wake() {
	n.mu.Lock()
	n.timerSet, n.wokenAt = false, time.Now() // a change from here on needs another call
	n.mu.Unlock()
	if n.publish != nil {
		n.publish()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}
