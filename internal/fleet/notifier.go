package fleet

import "sync"

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

func newNotifier() *notifier { return &notifier{ch: make(chan struct{})} }

// next returns a channel that is closed at the next call of notify.
func (b *notifier) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// notify wakes all goroutines that wait for the current channel.
func (b *notifier) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
