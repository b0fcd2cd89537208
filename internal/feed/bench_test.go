package feed

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkFollowers measures the processor time that an idle follower costs both
// ends, as a share of a core. Run it with -benchtime 5x, since an iteration takes
// a second.
func BenchmarkFollowers(b *testing.B) {
	for _, followers := range []int{1, 30, 120} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) { benchmarkFollowers(b, followers) })
	}
}

func benchmarkFollowers(b *testing.B, followers int) {
	c := qt.New(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	src := newSource()
	src.follower = make(chan bool, 2*followers)
	server := Serve(listener, src)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr := listener.Addr().String()
	for i := range followers {
		_, err := Follow(ctx, target(addr), HostInfo{Name: fmt.Sprint(i)}, discardSink{})
		c.Assert(err, qt.IsNil)
	}
	start, before := time.Now(), processorTime(c)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	used := processorTime(c) - before
	b.ReportMetric(used.Seconds()/time.Since(start).Seconds()/float64(followers), "cores/follower")
}

// discardSink ignores all updates.
type discardSink struct{}

func (discardSink) FrameFailed(string, error) {}

func (discardSink) ConnectionChanged(string, bool) {}
func (discardSink) Updated(string, Update)         {}

// processorTime returns the processor time that this process has used.
func processorTime(c *qt.C) time.Duration {
	var u syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &u), qt.IsNil)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
