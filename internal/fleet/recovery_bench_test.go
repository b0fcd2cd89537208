package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
	"greengagequay/internal/codec"
	"greengagequay/internal/document"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/feed"
	"greengagequay/internal/metrics"
)

// BenchmarkRecovery measures a restart of all processes: all entry hosts connect to one
// control host, which knows the backend servers from its hint file, and the backend
// servers announce new starts within 0.8 s. It reports the processor time of the process,
// the time until an entry host knows all new starts (lag-ms, at most 20 s), the number of
// updates that it got for that, and how many connections ended early. Only one entry host
// decodes the updates.
func BenchmarkRecovery(b *testing.B) {
	for _, fastStart := range []bool{false, true} {
		for _, followers := range []int{30, 100, 300, 1000} {
			name := fmt.Sprintf("fastStart=%v/%d", fastStart, followers)
			b.Run(name, func(b *testing.B) { benchmarkRecovery(b, fastStart, followers) })
		}
	}
}

// newBenchControl returns a control host without a log that knows backend servers.
func newBenchControl(records []catalog.Record) *ControlHost {
	h := newControlWithoutDocument(Config{})
	h.catalog.Merge(0, "", records)
	h.setDocument(&document.Document{Version: 1, Services: []string{"orders"}})
	return h
}

// newControlWithoutDocument returns a control host without a log and a document.
func newControlWithoutDocument(cfg Config) *ControlHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &ControlHost{
		cfg: cfg, log: eventlog.New(io.Discard, "c1", time.Now), metrics: metrics.New(), changes: newNotifier(), entryHosts: newEntryHosts(),
		entryHistory: newEntryHostHistory(), started: time.Now(), ctx: ctx, cancel: cancel,
		catalog: catalog.New(catalog.Config{Self: "c1", Interval: 770 * time.Millisecond}),
		info:    feed.HostInfo{Name: "c1", Addr: "c1", Control: true}, peers: map[string]feed.HostInfo{}, early: earlyAnnouncements{},
	}
	h.controlHosts = newControlHosts(ctx, h.info, nil, h)
	return h
}

// bornSink counts the backend servers whose new start a follower knows.
type bornSink struct {
	mu        sync.Mutex
	connected bool
	born      int64
	known     map[string]bool
	want      int
	synced    *sync.WaitGroup
	complete  *sync.WaitGroup
	frames    *atomic.Int64
}

func (s *bornSink) FrameFailed(string, error) {}

func (s *bornSink) ConnectionChanged(_ string, connected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if connected && !s.connected {
		s.connected = true
		s.synced.Done()
	}
}

func (s *bornSink) Updated(_ string, u feed.Update) {
	s.frames.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range u.Records {
		if r.Born == s.born && !s.known[r.ID] {
			s.known[r.ID] = true
			if len(s.known) == s.want {
				s.complete.Done()
			}
		}
	}
}

// discardUpdates follows a control host without decoding its updates, so that the
// processor time is mostly that of the control host.
func discardUpdates(ctx context.Context, addr string, self feed.HostInfo, ended *atomic.Int64, synced *sync.WaitGroup) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	send := func(v any) {
		data, _ := codec.Marshal(v)
		_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
	}
	send(feed.Hello{From: self, Compressed: true, Deltas: true})
	go func() {
		for ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond)
			send(feed.Report{})
		}
	}()
	buf := make([]byte, 64<<10)
	_, _ = conn.Read(buf)
	synced.Done()
	for err == nil {
		_, err = conn.Read(buf)
	}
	if ctx.Err() == nil {
		ended.Add(1)
	}
}

func processorTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkRecovery(b *testing.B, fastStart bool, followers int) {
	const (
		backends     = 3000
		maxLag       = 20 * time.Second
		announceTime = 770 * time.Millisecond
		newStart     = 1 << 42
	)
	c := qt.New(b)
	var connecting, announcing, lag time.Duration
	var frames, ended atomic.Int64
	for b.Loop() {
		records := randomRecords(backends)
		h := newBenchControl(records)
		h.features.FastStart = fastStart
		if fastStart {
			h.enablePublishing()
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		h.feed = feed.Serve(listener, h)
		before := processorTime(c)
		var synced, complete sync.WaitGroup
		synced.Add(followers)
		complete.Add(1)
		addr := listener.Addr().String()
		for i := range followers - 1 {
			go discardUpdates(h.ctx, addr, feed.HostInfo{Name: fmt.Sprint(i), Addr: fmt.Sprint(i)}, &ended, &synced)
		}
		sink := &bornSink{born: newStart, known: map[string]bool{}, want: backends, synced: &synced, complete: &complete, frames: &frames}
		_, err = feed.Follow(h.ctx, feed.Target{Addr: addr, DialAddr: addr, Timeout: time.Minute}, feed.HostInfo{Addr: "last"}, sink)
		c.Assert(err, qt.IsNil)
		synced.Wait()
		middle := processorTime(c)
		began := time.Now()
		for i, r := range records {
			if wait := time.Until(began.Add(announceTime * time.Duration(i) / time.Duration(backends))); wait > time.Millisecond {
				time.Sleep(wait)
			}
			r.Born, r.Sequence = newStart, 1
			c.Assert(h.Announce(r.Heartbeat), qt.IsNil)
		}
		announced := time.Now()
		done := make(chan struct{})
		go func() {
			complete.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(maxLag):
		}
		lag += time.Since(announced)
		connecting += middle - before
		announcing += processorTime(c) - middle
		h.cancel()
		h.feed.Close()
		h.log.Close(time.Second)
	}
	n := float64(b.N)
	b.ReportMetric(connecting.Seconds()*1000/n, "connect-cpu-ms")
	b.ReportMetric(announcing.Seconds()*1000/n, "announce-cpu-ms")
	b.ReportMetric(lag.Seconds()*1000/n, "lag-ms")
	b.ReportMetric(float64(frames.Load())/n, "frames")
	b.ReportMetric(float64(ended.Load())/n, "ended")
}
