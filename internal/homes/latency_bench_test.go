package homes_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/emulator"
	"greengagequay/internal/request"
)

// BenchmarkAddedLatency compares the latency of requests that are sent directly to a
// backend server, through an entry host, and through an entry host with a key.
func BenchmarkAddedLatency(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	hosts := []emulator.HostSpec{{Name: "a1", Zone: "a", Control: true}, {Name: "a2", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "b2", Zone: "b"}}
	f, err := emulator.Start(hosts, []emulator.ServiceSpec{{Name: service, Address: netip.MustParseAddrPort("203.0.113.10:443"), Backends: 4, Slots: 3}}, netip.MustParseAddrPort("127.0.0.1:9"))
	qt.Assert(b, err, qt.IsNil)
	defer f.Close()
	qt.Assert(b, f.CreateServices(ctx, 0), qt.IsNil)
	qt.Assert(b, f.WaitPlaced(ctx), qt.IsNil)
	qt.Assert(b, f.WaitFor(ctx, func() bool {
		return !slices.ContainsFunc(f.Running(), func(i int) bool { return !f.Host(i).Ready() })
	}), qt.IsNil)
	var direct string
	for _, backend := range f.Host(1).Replica.Table().Backends {
		direct = backend.Request.String()
	}
	latencies := map[string][]time.Duration{}
	for b.Loop() {
		for name, addr := range map[string]string{"direct": direct, "through": f.Host(1).Config.Requests, "keyed": f.Host(1).Config.Requests} {
			key := ""
			if name == "keyed" {
				key = time.Now().String()
			}
			start := time.Now()
			post(b, addr, key)
			latencies[name] = append(latencies[name], time.Since(start))
		}
	}
	for name, times := range latencies {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-µs")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-µs")
	}
}

func post(b *testing.B, addr, key string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/order", strings.NewReader("x"))
	qt.Assert(b, err, qt.IsNil)
	req.Header.Set(request.HeaderService, service)
	if key != "" {
		req.Header.Set(request.HeaderKey, key)
		req.Header.Set(request.HeaderKeyTime, time.Now().Format(time.RFC3339Nano))
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(b, err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, resp.Body.Close(), qt.IsNil)
	qt.Assert(b, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}
