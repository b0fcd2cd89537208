package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"greengagequay/internal/request"
)

// HTTPServer answers requests with the stand-in's id and what it was sent.
type HTTPServer struct {
	id      string
	service string
	mu      sync.Mutex
	runs    map[string]int // by key
	total   int
}

func newHTTPServer(id, service string) *HTTPServer {
	return &HTTPServer{id: id, service: service, runs: map[string]int{}}
}

// ServeHTTP runs one request.
func (s *HTTPServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.total++
	if key := r.Header.Get(request.HeaderKey); key != "" {
		s.runs[key]++
	}
	s.mu.Unlock()
	w.Header().Set("Backend", s.id)
	fmt.Fprintf(w, "%s %s %d\n", s.service, r.URL.Path, n)
}

// Runs returns how often each key ran, and how many requests ran in all.
func (s *HTTPServer) Runs() (byKey map[string]int, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byKey = make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		byKey[k] = n
	}
	return byKey, s.total
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
