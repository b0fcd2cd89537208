package entry

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/logs"
	"greengagequay/internal/metrics"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// startStream starts a Stream with the given backend servers and returns its
// address.
func startStream(t *testing.T, backends ...net.Listener) string {
	r := replica.New()
	apply(t, r, state.Command{Change: &state.Change{ID: "a", Ops: []settings.Op{
		{Action: settings.Set, Path: "/pantanir", Key: settings.ServiceZones, Value: `["rvk-a"]`},
	}}})
	var delta table.Delta
	for i, l := range backends {
		delta.SetBackends = append(delta.SetBackends, table.Backend{
			Num: table.BackendNum(i + 1), ID: fmt.Sprint(i), Service: "pantanir", Zone: "rvk-a",
			State: model.Ready, Stream: netip.MustParseAddrPort(l.Addr().String()),
		})
	}
	apply(t, r, state.Command{Placement: &delta})
	l := listen(t)
	s := NewStream(l, "pantanir", r, metrics.New(), logs.Discard().Component("stream"))
	go s.Serve()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func apply(t *testing.T, r *replica.Replica, c state.Command) {
	data, err := state.Encode(c)
	qt.Assert(t, err, qt.IsNil)
	result, err := r.Apply(replica.Entry{Revision: r.Revision() + 1, Data: data})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Err == nil, qt.IsTrue)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, addr string) *net.TCPConn {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestHalfClose checks that a client that has closed its sending direction still
// gets the whole answer.
func TestHalfClose(t *testing.T) {
	c := qt.New(t)
	backend := listen(t)
	go func() {
		conn, err := backend.Accept()
		if err != nil {
			return
		}
		request, _ := io.ReadAll(conn)
		_, _ = fmt.Fprintf(conn, "got %d bytes", len(request))
		_ = conn.Close()
	}()
	client := dial(t, startStream(t, backend))
	_, err := client.Write(make([]byte, 1<<20))
	c.Assert(err, qt.IsNil)
	c.Assert(client.CloseWrite(), qt.IsNil)
	answer, err := io.ReadAll(client)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "got 1048576 bytes")
}

// TestAbortedUploadIsAnErrorAtTheBackendServer checks that the backend server does
// not take an aborted upload for a complete one.
func TestAbortedUploadIsAnErrorAtTheBackendServer(t *testing.T) {
	c := qt.New(t)
	backend := listen(t)
	started, result := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := backend.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		close(started)
		_, err = io.ReadAll(conn)
		result <- err
	}()
	client := dial(t, startStream(t, backend))
	_, err := client.Write([]byte("half a photo"))
	c.Assert(err, qt.IsNil)
	<-started
	c.Assert(client.SetLinger(0), qt.IsNil)
	c.Assert(client.Close(), qt.IsNil)
	c.Assert(<-result, qt.IsNotNil)
}

func TestConnectionsSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	const perBackend = 5
	backends := []net.Listener{listen(t), listen(t), listen(t)}
	accepted := make(chan int, perBackend*len(backends))
	for i, l := range backends {
		go func() {
			for {
				if _, err := l.Accept(); err != nil {
					return
				}
				accepted <- i
			}
		}()
	}
	addr := startStream(t, backends...)
	counts := make([]int, len(backends))
	for range perBackend * len(backends) {
		dial(t, addr)
		counts[<-accepted]++
	}
	for _, n := range counts {
		c.Check(n, qt.Equals, perBackend)
	}
}

func TestRefusingBackendServerIsSkipped(t *testing.T) {
	c := qt.New(t)
	closed, open := listen(t), listen(t)
	c.Assert(closed.Close(), qt.IsNil)
	go func() {
		for {
			conn, err := open.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("x"))
		}
	}()
	addr := startStream(t, closed, open)
	for range 5 {
		_, err := io.ReadFull(dial(t, addr), make([]byte, 1))
		c.Assert(err, qt.IsNil)
	}
}
