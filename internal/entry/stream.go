package entry

import (
	"cmp"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"greengagequay/internal/health"
	"greengagequay/internal/logs"
	"greengagequay/internal/metrics"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/table"
)

// dialTimeout is the timeout for opening a connection to a backend server.
const dialTimeout = time.Second

// Stream serves plain TCP connections of one service. A connection stays on the
// entry host that accepted it.
type Stream struct {
	// Health observes the results of connecting to backend servers. It may be
	// nil.
	Health health.Observer

	listener net.Listener
	service  string
	replica  *replica.Replica
	log      *logs.Component
	open     gometrics.Counter
	wg       sync.WaitGroup
	mu       sync.Mutex
	counts   map[string]int // number of open connections, by backend server
}

// NewStream returns a Stream that accepts connections to the service on l.
func NewStream(l net.Listener, service string, r *replica.Replica, m *metrics.Registry, log *logs.Component) *Stream {
	return &Stream{listener: l, service: service, replica: r, log: log, counts: map[string]int{}, open: m.Counter("streams.open." + service)}
}

// Serve accepts connections until Close is called.
func (s *Stream) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.relay(conn.(*net.TCPConn)) })
	}
}

// Close stops accepting connections. Open connections continue; Wait waits for
// them.
func (s *Stream) Close() { _ = s.listener.Close() }

// Wait waits until all connections have ended.
func (s *Stream) Wait() { s.wg.Wait() }

func (s *Stream) relay(client *net.TCPConn) {
	defer client.Close()
	server, backend := s.dial()
	if server == nil {
		_ = client.SetLinger(0) // makes Close reset the connection
		return
	}
	defer server.Close()
	defer s.count(backend, -1)
	enableDeadPeerDetection(client)
	enableDeadPeerDetection(server)
	s.open.Inc(1)
	defer s.open.Dec(1)
	var copies sync.WaitGroup
	copies.Add(2)
	go copyDirection(&copies, server, client)
	go copyDirection(&copies, client, server)
	copies.Wait()
}

// dial connects to a ready backend server and counts the connection as open. It
// returns nil if no backend server accepts the connection.
func (s *Stream) dial() (conn *net.TCPConn, backend string) {
	for _, b := range s.readyBackends() {
		s.count(b.ID, 1)
		start := time.Now()
		c, err := net.DialTimeout("tcp", b.Stream.String(), dialTimeout)
		health.ObserveResult(s.Health, b.ID, err, nil, time.Since(start))
		if err == nil {
			return c.(*net.TCPConn), b.ID
		}
		s.count(b.ID, -1)
		s.log.Warnf("cannot connect to backend server %s: %v", b.ID, err)
	}
	s.log.Warnf("service %s has no backend server that accepts a connection", s.service)
	return nil, ""
}

// readyBackends returns the ready backend servers, those with the fewest
// connections from this host first. Backend servers with equal counts are in
// random order, so that hosts that start together do not all choose the same one.
func (s *Stream) readyBackends() []table.Backend {
	var ready []table.Backend
	for _, b := range s.replica.Table().Backends {
		if b.Service == s.service && b.State == model.Ready && b.Stream.IsValid() {
			ready = append(ready, b)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(ready, func(a, b table.Backend) int { return cmp.Compare(s.counts[a.ID], s.counts[b.ID]) })
	return ready
}

// count adds change to the number of open connections to a backend server.
func (s *Stream) count(backend string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[backend] += change
	if s.counts[backend] == 0 {
		delete(s.counts, backend)
	}
}

// copyDirection copies all data from one connection to the other, and then closes
// the other for writing. An error resets both connections, so that neither end takes
// a truncated stream for a complete one.
func copyDirection(done *sync.WaitGroup, to, from *net.TCPConn) {
	defer done.Done()
	if _, err := io.Copy(to, from); err != nil {
		_ = to.SetLinger(0)
		_ = from.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = to.CloseWrite()
}
