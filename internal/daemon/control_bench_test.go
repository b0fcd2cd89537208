package daemon

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// BenchmarkCommit commits changes on three control hosts over loopback, each with
// its own data folder and real disk syncs, from one and from 64 operators at once.
func BenchmarkCommit(b *testing.B) {
	for _, operators := range []int{1, 64} {
		b.Run(fmt.Sprintf("operators=%d", operators), func(b *testing.B) { benchmarkCommit(b, operators) })
	}
}

func benchmarkCommit(b *testing.B, operators int) {
	tr := startControlCluster(qt.New(b))
	lead := tr.hosts[tr.leader()]
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	results := make(chan time.Duration, operators)
	var next atomic.Int64
	work := make(chan struct{})
	for range operators {
		go func() {
			for range work {
				id := fmt.Sprint(next.Add(1))
				start := time.Now()
				ops := []settings.Op{{Action: settings.Set, Path: "/", Key: settings.RequestQueue, Value: "9"}}
				if _, err := lead.Submit(tr.ctx, state.Change{ID: id, Ops: ops}); err != nil {
					b.Error(err)
				}
				results <- time.Since(start)
			}
		}()
	}
	sent, got := 0, 0
	for b.Loop() {
		for sent-got >= operators {
			_ = latency.RecordValue((<-results).Microseconds())
			got++
		}
		work <- struct{}{}
		sent++
	}
	for ; got < sent; got++ {
		_ = latency.RecordValue((<-results).Microseconds())
	}
	close(work)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
}

// BenchmarkControlTrafficAtRest measures the control traffic per second, sent and
// received, of each of three control hosts while nothing changes.
func BenchmarkControlTrafficAtRest(b *testing.B) {
	tr := startControlCluster(qt.New(b))
	lead := tr.leader()
	for b.Loop() {
		start := make([]int64, 3)
		for i, d := range tr.hosts {
			start[i] = d.ControlBytes()
		}
		const window = 4 * time.Second
		<-time.After(window)
		for i, d := range tr.hosts {
			role := fmt.Sprintf("follower%d-B/s", i)
			if i == lead {
				role = "leader-B/s"
			}
			b.ReportMetric(float64(d.ControlBytes()-start[i])/window.Seconds(), role)
		}
	}
}
