package standin

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"greengagequay/internal/request"
)

// Behavior is how a stand-in treats requests. Shares are of all requests.
type Behavior struct {
	Delay time.Duration // mean service time, exponentially distributed
	Shed  float64       // refused as not run
	Lose  float64       // run, but the answer is lost
	Cross float64       // answered with the answer of another attempt
	Hang  float64       // run until they are cancelled
	Reset float64       // cut off in the middle of the answer
	Seed  uint64
}

// HTTPCounts is what a stand-in saw of requests.
type HTTPCounts struct {
	Runs     map[string]int // by key
	Attempts map[string]int // by attempt id
	Targets  map[string]int // by path and query
	Total    int            // requests that ran
	Cut      int            // uploads that were cut off; they did not run
	Shed     int
	Busy     int // requests in progress
	Most     int // most requests at once
	Exceeded int // requests that came while all slots were in use
}

// fate is what happens to one request.
type fate int

const (
	serve fate = iota
	shed
	lose
	cross
	hang
	reset
)

// HTTPServer answers requests with the service, the path and the number of
// bytes it was sent.
type HTTPServer struct {
	id      string
	service string
	slots   int

	mu       sync.Mutex
	behavior Behavior
	rand     *rand.Rand
	counts   HTTPCounts
	busy     int
	last     string // attempt that was answered last
}

func newHTTPServer(id, service string, slots int) *HTTPServer {
	s := &HTTPServer{id: id, service: service, slots: slots}
	s.counts = HTTPCounts{Runs: map[string]int{}, Attempts: map[string]int{}, Targets: map[string]int{}}
	s.Behave(Behavior{})
	return s
}

// Behave changes how requests are treated from now on.
func (s *HTTPServer) Behave(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
	s.rand = rand.New(rand.NewPCG(b.Seed, 4))
}

// ServeHTTP runs one request.
func (s *HTTPServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.enter()
	defer s.leave()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.count(func(c *HTTPCounts) { c.Cut++ })
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get(request.HeaderAttempt)
	what, delay, previous := s.decide(attempt)
	if what == shed {
		s.count(func(c *HTTPCounts) { c.Shed++ })
		w.Header().Set(request.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(func(c *HTTPCounts) {
		c.Total++
		c.Attempts[attempt]++
		c.Targets[r.URL.RequestURI()]++
		if key := r.Header.Get(request.HeaderKey); key != "" {
			c.Runs[key]++
		}
	})
	if what == hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	wait(r, delay)
	if what == lose {
		panic(http.ErrAbortHandler)
	}
	if what == cross {
		attempt = previous
	}
	s.answer(w, attempt, fmt.Sprintf("%s %s %d\n", s.service, r.URL.Path, n), what == reset)
}

func wait(r *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *HTTPServer) answer(w http.ResponseWriter, attempt, body string, cut bool) {
	w.Header().Set("Backend", s.id)
	w.Header().Set(request.HeaderAttempt, attempt)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if cut {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func (s *HTTPServer) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
	s.counts.Most = max(s.counts.Most, s.busy)
	if s.slots > 0 && s.busy > s.slots {
		s.counts.Exceeded++
	}
}

func (s *HTTPServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *HTTPServer) count(fn func(*HTTPCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.counts)
}

// decide draws the fate of a request.
func (s *HTTPServer) decide(attempt string) (what fate, delay time.Duration, previous string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, s.last = s.last, attempt
	delay = time.Duration(s.rand.ExpFloat64() * float64(s.behavior.Delay))
	b, drawn := s.behavior, s.rand.Float64()
	for _, f := range []struct {
		what  fate
		share float64
	}{{shed, b.Shed}, {lose, b.Lose}, {cross, b.Cross}, {hang, b.Hang}, {reset, b.Reset}} {
		if drawn < f.share {
			return f.what, delay, previous
		}
		drawn -= f.share
	}
	return serve, delay, previous
}

// Counts returns what the stand-in saw.
func (s *HTTPServer) Counts() HTTPCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Busy = s.busy
	c.Runs, c.Attempts, c.Targets = maps.Clone(c.Runs), maps.Clone(c.Attempts), maps.Clone(c.Targets)
	return c
}

// serveEcho answers each connection with the bytes it sends.
func serveEcho(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(conn, conn)
		}()
	}
}

// Runs returns how often each key ran, and how many requests ran in all.
func (s *HTTPServer) Runs() (byKey map[string]int, total int) {
	c := s.Counts()
	return c.Runs, c.Total
}
