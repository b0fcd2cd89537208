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

// Behavior determines how a stand-in treats requests. Shares are fractions of all
// requests.
type Behavior struct {
	Delay       time.Duration // mean service time, exponentially distributed
	Shed        float64       // share refused as not run, with request.HeaderNotRun
	LoseAnswer  float64       // share that run, but whose connection is closed without an answer
	WrongAnswer float64       // share answered with the id of the previous attempt
	Hang        float64       // share that run until they are cancelled
	Reset       float64       // share whose connection is closed in the middle of the answer
	Seed        uint64
}

// HTTPCounts holds the counts of requests that a stand-in received.
type HTTPCounts struct {
	Runs     map[string]int // requests that ran, by key
	Attempts map[string]int // requests that ran, by attempt id
	Targets  map[string]int // requests that ran, by path and query
	Total    int            // requests that ran
	Cut      int            // uploads that ended early; they did not run
	Shed     int            // requests refused as not run
	Busy     int            // requests in progress
	MaxBusy  int            // most requests in progress at once
	Exceeded int            // requests that arrived while all slots were in use
}

// outcome is what happens to one request.
type outcome int

const (
	serve outcome = iota
	shed
	loseAnswer
	wrongAnswer
	hangUntilCancelled
	reset
)

// HTTPServer answers each request with the service, the path and the number of
// bytes of the request body.
type HTTPServer struct {
	id      string
	service string
	slots   int

	mu          sync.Mutex
	behavior    Behavior
	rand        *rand.Rand
	counts      HTTPCounts
	busy        int
	lastAttempt string // id of the attempt that arrived last
}

func newHTTPServer(id, service string, slots int) *HTTPServer {
	s := &HTTPServer{id: id, service: service, slots: slots}
	s.counts = HTTPCounts{Runs: map[string]int{}, Attempts: map[string]int{}, Targets: map[string]int{}}
	s.SetBehavior(Behavior{})
	return s
}

// SetBehavior changes how requests are treated from now on.
func (s *HTTPServer) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
	s.rand = rand.New(rand.NewPCG(b.Seed, 4))
}

// ServeHTTP handles one request. The outcome is drawn at random, with the shares
// of the configured behavior.
func (s *HTTPServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.enter()
	defer s.leave()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.count(func(c *HTTPCounts) { c.Cut++ })
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get(request.HeaderAttempt)
	result, delay, previous := s.drawOutcome(attempt)
	if result == shed {
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
	if result == hangUntilCancelled {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	wait(r, delay)
	if result == loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if result == wrongAnswer {
		attempt = previous
	}
	s.answer(w, attempt, fmt.Sprintf("%s %s %d\n", s.service, r.URL.Path, n), result == reset)
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
	s.counts.MaxBusy = max(s.counts.MaxBusy, s.busy)
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

// drawOutcome draws the outcome and the service time of a request. It also returns
// the id of the attempt that arrived before it.
func (s *HTTPServer) drawOutcome(attempt string) (result outcome, delay time.Duration, previous string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, s.lastAttempt = s.lastAttempt, attempt
	delay = time.Duration(s.rand.ExpFloat64() * float64(s.behavior.Delay))
	b, drawn := s.behavior, s.rand.Float64()
	for _, f := range []struct {
		result outcome
		share  float64
	}{{shed, b.Shed}, {loseAnswer, b.LoseAnswer}, {wrongAnswer, b.WrongAnswer}, {hangUntilCancelled, b.Hang}, {reset, b.Reset}} {
		if drawn < f.share {
			return f.result, delay, previous
		}
		drawn -= f.share
	}
	return serve, delay, previous
}

// Counts returns a copy of the counts.
func (s *HTTPServer) Counts() HTTPCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Busy = s.busy
	c.Runs, c.Attempts, c.Targets = maps.Clone(c.Runs), maps.Clone(c.Attempts), maps.Clone(c.Targets)
	return c
}

// serveEcho sends back all bytes received on each connection, until the listener
// is closed.
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

// Runs returns how often requests with each key ran, and how many requests ran in
// total.
func (s *HTTPServer) Runs() (byKey map[string]int, total int) {
	c := s.Counts()
	return c.Runs, c.Total
}
