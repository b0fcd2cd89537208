// Package simtime runs events in simulated time, for tests that run many
// components in one goroutine. Events with the same time run in the order in
// which they were added, so a test run is determined by its seed.
package simtime

import (
	"container/heap"
	"time"
)

// Scheduler holds the simulated time and the pending events. The zero value
// starts at the zero time.
type Scheduler struct {
	Now   time.Time
	queue events
	seq   int
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

// events is a heap of events, ordered by time and then by sequence number.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// After adds an event that calls fn after d.
func (s *Scheduler) After(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.Now.Add(d), seq: s.seq, fn: fn})
}

// Run advances the time by d and runs the events that are due by then, including
// those that they add.
func (s *Scheduler) Run(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.fn()
	}
	s.Now = end
}
