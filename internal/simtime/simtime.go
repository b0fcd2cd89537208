// Package simtime runs events in fake time, for tests that drive many pure
// cores in one goroutine. Events of one time run in the order in which they
// were added, so a run depends on its seed alone.
package simtime

import (
	"container/heap"
	"time"
)

// Scheduler holds the time and the events to come. The zero value starts at
// the zero time.
type Scheduler struct {
	Now   time.Time
	queue events
	seq   int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

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

// After adds an event that runs once d has passed.
func (s *Scheduler) After(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.Now.Add(d), seq: s.seq, do: do})
}

// Run runs the events of the next d, including those that they add.
func (s *Scheduler) Run(d time.Duration) {
	end := s.Now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.Now = e.at
		e.do()
	}
	s.Now = end
}
