package simtime

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestEventsRunInOrder(t *testing.T) {
	c := qt.New(t)
	var s Scheduler
	var got []string
	add := func(d time.Duration, name string) { s.After(d, func() { got = append(got, name) }) }
	add(2*time.Second, "c")
	add(time.Second, "a")
	add(time.Second, "b")
	s.After(time.Second, func() { add(0, "nested") })
	add(time.Hour, "later")
	s.Run(3 * time.Second)
	c.Assert(got, qt.DeepEquals, []string{"a", "b", "nested", "c"})
	c.Assert(s.Now, qt.Equals, time.Time{}.Add(3*time.Second))
}
