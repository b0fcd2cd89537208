// Package load sends requests with open-loop arrivals to a small system on
// loopback or to a running one, and reports outcomes, latency and balance. It
// measures latency from the time at which a request was due, so that a slow
// system cannot hide latency by delaying the arrivals.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagequay/internal/emulator"
	"greengagequay/internal/request"
	"greengagequay/internal/standin"
)

// Options configures a run.
type Options struct {
	Rate      float64       // requests per second
	Duration  time.Duration // period in which requests arrive
	Hosts     int           // entry hosts in each of two zones
	Backends  int
	Slots     int           // slots of each backend server
	Service   time.Duration // mean service time of a request
	Customers int
	Uploads   float64 // share of requests that are uploads
	Keys      float64 // share of requests with a request key, which run at most once
	Timeout   time.Duration
	Seed      uint64
	// Targets are the request addresses of entry hosts of a running system. If
	// there are none, Run starts a system on loopback.
	Targets       []string
	TargetService string // service requested from the targets
}

// Report holds the results that callers and backend servers measured.
type Report struct {
	Offered       int                `json:"offered"`
	Outcomes      map[string]int     `json:"outcomes"`
	Latency       map[string]Latency `json:"latencyByClass"`
	Imbalance     float64            `json:"requestsMaxOverMean"` // answers of the busiest backend server, divided by the mean
	SlotsExceeded int                `json:"slotsExceeded"`       // requests that reached a backend server while all its slots were in use
	KeysRunTwice  int                `json:"keysRunTwice"`        // request keys that ran more than once
	WrongAnswers  int                `json:"wrongAnswers"`        // answers with an unexpected body
	Curve         []Point            `json:"curve"`               // latency distribution of all answered requests
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// Point is one point of a cumulative distribution.
type Point struct {
	Percent      float64 `json:"percent"`
	Milliseconds float64 `json:"milliseconds"`
}

// Classes of requests.
const (
	order  = "order"
	upload = "upload"
)

const (
	service    = "pantanir"
	uploadSize = 256 << 10       // bytes
	maxLatency = 5 * time.Minute // upper limit of the histograms, which leave out longer latencies
)

// arrival is one request of a run.
type arrival struct {
	n        int           // index in the run
	at       time.Duration // time after the start at which the request is due
	customer string
	class    string
	key      string
	host     int // index in Options.Targets
}

// run is the state of a run in progress.
type run struct {
	Options
	fleet  *emulator.Fleet // nil if the targets belong to a running system
	mu     sync.Mutex
	report Report
	// answers counts the answers of each backend server, by the id in the answer.
	answers      map[string]int
	latencies    map[string]*hdrhistogram.Histogram // microseconds, of answered requests by class
	allLatencies *hdrhistogram.Histogram            // microseconds, of all answered requests
}

// Run sends the requests to the targets, or to a system that it starts, and
// returns the report.
func Run(ctx context.Context, o Options) (Report, error) {
	var f *emulator.Fleet
	if len(o.Targets) == 0 {
		var err error
		if f, err = startSystem(ctx, o); err != nil {
			return Report{}, err
		}
		defer f.Close()
		o.TargetService = service
		for i := range 2 * o.Hosts {
			o.Targets = append(o.Targets, f.Host(i).Config.Requests)
		}
	}
	r := &run{Options: o, fleet: f, answers: map[string]int{}, allLatencies: newHistogram(), latencies: map[string]*hdrhistogram.Histogram{order: newHistogram(), upload: newHistogram()}}
	r.report = Report{Outcomes: map[string]int{}, Latency: map[string]Latency{}}
	r.sendAll(ctx, newArrivals(o))
	r.summarize()
	return r.report, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func startSystem(ctx context.Context, o Options) (*emulator.Fleet, error) {
	var hosts []emulator.HostSpec
	for i := range 2 * o.Hosts {
		zone := []string{"rvk-a", "rvk-b"}[i%2]
		hosts = append(hosts, emulator.HostSpec{Name: fmt.Sprintf("%s-%d", zone, i/2+1), Zone: zone, Control: i == 0})
	}
	spec := emulator.ServiceSpec{Name: service, Address: netip.MustParseAddrPort("203.0.113.10:443"), Backends: o.Backends, Slots: o.Slots}
	f, err := emulator.Start(hosts, []emulator.ServiceSpec{spec}, netip.MustParseAddrPort("127.0.0.1:9"))
	if err != nil {
		return nil, err
	}
	if err := f.CreateServices(ctx, 0); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.WaitPlaced(ctx); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.WaitFor(ctx, func() bool { return allReady(f) }); err != nil {
		f.Close()
		return nil, err
	}
	for i, b := range f.Backends {
		b.HTTP.SetBehavior(standin.Behavior{Delay: o.Service, Seed: o.Seed + uint64(i)})
	}
	return f, nil
}

func allReady(f *emulator.Fleet) bool {
	for _, i := range f.Running() {
		if !f.Host(i).Ready() {
			return false
		}
	}
	return true
}

// newArrivals generates all requests of a run from the seed.
func newArrivals(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 5))
	var list []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		if at > o.Duration {
			return list
		}
		a := arrival{n: len(list), at: at, class: order, host: rng.IntN(len(o.Targets))}
		a.customer = fmt.Sprintf("customer-%d", rng.IntN(o.Customers))
		if rng.Float64() < o.Uploads {
			a.class = upload
		}
		if rng.Float64() < o.Keys {
			a.key = fmt.Sprintf("key-%d", a.n)
		}
		list = append(list, a)
	}
}

// sendAll sends each request when it is due and waits until all have ended.
func (r *run) sendAll(ctx context.Context, list []arrival) {
	start := time.Now()
	var callers sync.WaitGroup
	for _, a := range list {
		time.Sleep(time.Until(start.Add(a.at)))
		callers.Go(func() {
			outcome, correct := r.send(ctx, a)
			r.record(a, outcome, correct, time.Since(start)-a.at)
		})
	}
	callers.Wait()
	r.report.Offered = len(list)
}

// send sends a request and returns its outcome. correct is false if the body of an
// answer is not the expected one.
func (r *run) send(ctx context.Context, a arrival) (outcome string, correct bool) {
	path := fmt.Sprintf("/%s/%d", a.class, a.n)
	size := 64
	if a.class == upload {
		size = uploadSize
	}
	url := "http://" + r.Targets[a.host] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return "failed", true
	}
	req.Header.Set(request.HeaderService, r.TargetService)
	req.Header.Set(request.HeaderCustomer, a.customer)
	req.Header.Set(request.HeaderClass, a.class)
	req.Header.Set(request.HeaderTimeout, r.Timeout.String())
	if a.key != "" {
		req.Header.Set(request.HeaderKey, a.key)
		req.Header.Set(request.HeaderKeyTime, time.Now().Format(time.RFC3339Nano))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "failed", true
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "failed", true
	}
	outcome = resp.Header.Get(request.HeaderOutcome)
	r.countAnswer(resp.Header.Get("Backend"))
	return outcome, outcome != request.Answered || string(body) == fmt.Sprintf("%s %s %d\n", r.TargetService, path, size)
}

func (r *run) countAnswer(backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if backend != "" {
		r.answers[backend]++
	}
}

func (r *run) record(a arrival, outcome string, correct bool, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Outcomes[outcome]++
	if !correct {
		r.report.WrongAnswers++
	}
	if outcome == request.Answered {
		_ = r.latencies[a.class].RecordValue(latency.Microseconds())
		_ = r.allLatencies.RecordValue(latency.Microseconds())
	}
}

func (r *run) summarize() {
	for class, h := range r.latencies {
		r.report.Latency[class] = Latency{Count: h.TotalCount(), Median: millis(h.ValueAtQuantile(50)), P99: millis(h.ValueAtQuantile(99)), Max: millis(h.Max())}
	}
	for _, b := range r.allLatencies.CumulativeDistribution() {
		r.report.Curve = append(r.report.Curve, Point{Percent: b.Quantile, Milliseconds: millis(b.ValueAt)})
	}
	r.report.Imbalance = r.imbalance()
	if r.fleet != nil {
		r.checkBackends()
	}
}

// imbalance returns the highest number of answers of a backend server, divided by
// the mean.
func (r *run) imbalance() float64 {
	most, total := 0, 0
	for _, n := range r.answers {
		most, total = max(most, n), total+n
	}
	if total == 0 {
		return 0
	}
	return float64(most*len(r.answers)) / float64(total)
}

// checkBackends adds the violations that the backend servers counted to the
// report.
func (r *run) checkBackends() {
	runs := map[string]int{}
	for _, b := range r.fleet.Backends {
		c := b.HTTP.Counts()
		r.report.SlotsExceeded += c.Exceeded
		for key, n := range c.Runs {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.report.KeysRunTwice++
		}
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
