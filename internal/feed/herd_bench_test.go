package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkHerd measures the processor time, of both ends, until all followers
// that connect at the same moment have the state of 400 backend servers.
func BenchmarkHerd(b *testing.B) {
	for _, followers := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(followers), func(b *testing.B) { benchmarkHerd(b, followers) })
	}
}

func benchmarkHerd(b *testing.B, followers int) {
	c := qt.New(b)
	before := processorTime(c)
	for b.Loop() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		src := newSource()
		src.revision = 400
		src.follower = make(chan bool, 2*followers)
		server := Serve(listener, src)
		ctx, cancel := context.WithCancel(context.Background())
		addr := listener.Addr().String()
		var waiting sync.WaitGroup
		waiting.Add(followers)
		for i := range followers {
			go func() { _, _ = Follow(ctx, target(addr), HostInfo{Name: fmt.Sprint(i)}, firstStateSink{&waiting}) }()
		}
		waiting.Wait()
		cancel()
		server.Close()
	}
	used := processorTime(c) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*followers), "cpu-us/follower")
}

// firstStateSink counts the followers that lack the state.
type firstStateSink struct{ waiting *sync.WaitGroup }

func (firstStateSink) FrameFailed(string, error) {}

func (s firstStateSink) ConnectionChanged(_ string, connected bool) {
	if connected {
		s.waiting.Done()
	}
}

func (firstStateSink) Updated(string, Update) {}
