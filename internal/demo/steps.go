package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// idleTime is how long the control traffic of the idle system is measured.
const idleTime = 3 * time.Second

// drainBound is the time after which a draining backend server must not get new
// flows.
const drainBound = 3 * time.Second

// Numbers of plain connections and of requests with a key.
const (
	plainConnections = 20
	keyedRequests    = 20
)

// stream is one plain TCP connection.
type stream struct {
	conn   net.Conn
	broken bool
}

// openStreams opens plain connections to the first service through the hosts that
// the demonstration does not restart, because a plain connection is pinned to its
// host.
func (r *run) openStreams(ctx context.Context) error {
	var dialer net.Dialer
	for i := range plainConnections {
		host := r.fleet.Host(i % (len(hosts) - 1))
		conn, err := dialer.DialContext(ctx, "tcp", host.Config.Listeners[services[0].Name])
		if err != nil {
			return fmt.Errorf("open connection: %w", err)
		}
		r.streams = append(r.streams, &stream{conn: conn})
	}
	return r.useStreams(ctx)
}

// useStreams sends a line on each plain connection, and marks the connection as
// broken unless the same line comes back.
func (r *run) useStreams(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	line := []byte("board\n")
	for _, st := range r.streams {
		_ = st.conn.SetDeadline(deadline)
		answer := make([]byte, len(line))
		_, sendErr := st.conn.Write(line)
		_, readErr := io.ReadFull(st.conn, answer)
		if sendErr != nil || readErr != nil || string(answer) != string(line) {
			st.broken = true
		}
	}
	return nil
}

// openMoreFlows opens flows once a backend server has been draining for
// drainBound, and counts the flows that still reach that server.
func (r *run) openMoreFlows(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(drainBound):
	}
	drained := r.fleet.Backends[0].Packets
	before := drained.Counts().Opened
	r.callers.Open(services[0].Address, r.Flows/2)
	if err := r.callers.AwaitAnswers(ctx); err != nil {
		return err
	}
	r.report.FlowsToDraining = drained.Counts().Opened - before
	return nil
}

// repeatKeyedRequests sends each request that has a key twice, through two
// different hosts.
func (r *run) repeatKeyedRequests(ctx context.Context) error {
	for i := range keyedRequests {
		key := fmt.Sprintf("order-%d", i)
		for attempt := range 2 {
			host := r.fleet.Host((i + attempt) % len(hosts))
			if err := r.sendRequest(ctx, requestSpec{service: services[0].Name, addr: host.Config.Requests, size: i, key: key}); err != nil {
				return err
			}
		}
	}
	return nil
}

// keysRunTwice returns how many keys ran more than once.
func (r *run) keysRunTwice() int {
	runs := map[string]int{}
	for _, b := range r.fleet.Backends {
		byKey, _ := b.HTTP.Runs()
		for key, n := range byKey {
			runs[key] += n
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// measureIdle measures the control traffic of the system while no one uses or
// changes it.
func (r *run) measureIdle(ctx context.Context) error {
	before := r.fleet.ControlBytes()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleTime):
	}
	bytes := float64(r.fleet.ControlBytes() - before)
	r.report.ControlBytesPerHostS = bytes / idleTime.Seconds() / float64(len(hosts))
	return nil
}
