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

// dialTimeout bounds the opening of a connection to a backend server.
const dialTimeout = time.Second

// Stream serves plain TCP connections of one service. A connection is pinned
// to the entry host that took it.
type Stream struct {
	// Health is told how connections to backend servers go. It may be nil.
	Health health.Observer

	listener net.Listener
	service  string
	replica  *replica.Replica
	log      *logs.Part
	open     gometrics.Counter
	wg       sync.WaitGroup
	mu       sync.Mutex
	counts   map[string]int // open connections by backend server
}

// NewStream returns a server of connections of the service.
func NewStream(l net.Listener, service string, r *replica.Replica, m *metrics.Registry, log *logs.Part) *Stream {
	return &Stream{listener: l, service: service, replica: r, log: log, counts: map[string]int{}, open: m.Counter("streams.open." + service)}
}

// Serve accepts connections until Close.
func (s *Stream) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.relay(conn.(*net.TCPConn)) })
	}
}

// Close stops accepting. Open connections go on; Wait waits for them.
func (s *Stream) Close() { _ = s.listener.Close() }

// Wait waits until all connections have ended.
func (s *Stream) Wait() { s.wg.Wait() }

func (s *Stream) relay(client *net.TCPConn) {
	defer client.Close()
	server, backend := s.dial()
	if server == nil {
		_ = client.SetLinger(0) // resets the connection
		return
	}
	defer server.Close()
	defer s.count(backend, -1)
	watchSilence(client)
	watchSilence(server)
	s.open.Inc(1)
	defer s.open.Dec(1)
	var both sync.WaitGroup
	both.Add(2)
	go copyHalf(&both, server, client)
	go copyHalf(&both, client, server)
	both.Wait()
}

// dial connects to a ready backend server and counts the connection against
// it. It returns nil if none can be reached.
func (s *Stream) dial() (conn *net.TCPConn, backend string) {
	for _, b := range s.ranked() {
		s.count(b.ID, 1)
		start := time.Now()
		c, err := net.DialTimeout("tcp", b.Stream.String(), dialTimeout)
		health.ObserveResult(s.Health, b.ID, err, nil, time.Since(start))
		if err == nil {
			return c.(*net.TCPConn), b.ID
		}
		s.count(b.ID, -1)
		s.log.Warnf("backend server %s refused a connection: %v", b.ID, err)
	}
	s.log.Warnf("service %s has no backend server for a connection", s.service)
	return nil, ""
}

// ranked returns the ready backend servers, those with the fewest connections
// of this host first. Equal ones are in random order, so that hosts which
// start together do not choose the same one.
func (s *Stream) ranked() []table.Backend {
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

func (s *Stream) count(backend string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[backend] += change
	if s.counts[backend] == 0 {
		delete(s.counts, backend)
	}
}

// copyHalf copies one direction and passes its end on. An error resets both
// sides, so that neither takes a cut stream for a whole one.
func copyHalf(done *sync.WaitGroup, to, from *net.TCPConn) {
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
