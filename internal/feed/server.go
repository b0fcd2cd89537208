package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Cursor is the state up to which a follower has received updates.
type Cursor struct {
	Revision uint64 // revision of the catalog, for entry hosts that of steering
	Version  uint64 // version of the document
	Suspects uint64 // revision of the list of suspects
	Peers    uint64 // revision of the list of peers
	Current  bool   // last value of Update.Current
	Started  bool   // whether an update was sent

	Evacuations uint64 // one more than the revision of the evacuations, 0 if there is no set to send
	Levels      uint64 // revision of the shares of backend servers
	Plan        uint64 // revision of the plan for zones
	Demands     uint64 // revision of the demand, to control hosts
	Followers   uint64 // revision of the list of followers, to control hosts
	Samples     uint64 // number of batches of samples, to control hosts of the same zone
}

// Source provides the updates that a server sends, and handles reports of
// followers. It is safe for concurrent use.
type Source interface {
	// Greeting returns the update that identifies the host. It holds no state.
	Greeting() Update
	// Position returns the cursor of a follower that has received everything. It is
	// the same for all entry hosts.
	Position(to HostInfo) Cursor
	// Next returns the update for a follower that has received everything up to
	// the cursor after, and the new cursor. It returns false if the follower is up
	// to date.
	Next(to Hello, after Cursor) (Update, Cursor, bool)
	// Changed returns a channel that is closed at the next change for
	// followers.
	Changed() <-chan struct{}
	// FollowerChanged reports that a follower connected or disconnected.
	FollowerChanged(follower HostInfo, connected bool)
	// Reported handles a report from a follower.
	Reported(follower HostInfo, r Report)
	// FrameFailed handles a report that could not be decoded, or an update that could
	// not be encoded. The connection ends after it.
	FrameFailed(follower string, err error)
}

// minUpdateInterval is the least time between two updates to one follower. Changes
// that come closer together are sent in one update.
const minUpdateInterval = 20 * time.Millisecond

// Server serves followers.
type Server struct {
	source   Source
	frames   frameCache
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Serve serves followers that connect to the listener, until Close.
func Serve(l net.Listener, s Source) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{source: s, listener: l, ctx: ctx, cancel: cancel}
	srv.done.Go(srv.accept)
	return srv
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.done.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Go(func() { s.serve(conn) })
	}
}

// serve reads the hello of a follower, sends it updates and reads its reports
// until the connection ends.
func (s *Server) serve(accepted net.Conn) {
	conn := newTimedConn(accepted)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	in := bufio.NewReader(conn)
	var hello Hello
	if err := readFrame(in, &hello); err != nil {
		return // the peer is not a follower
	}
	s.source.FollowerChanged(hello.From, true)
	defer s.source.FollowerChanged(hello.From, false)
	wanted, want := context.WithCancel(ctx) // done when the follower wants the state
	if !hello.Deferred {
		want()
	}
	s.done.Go(func() {
		defer cancel()
		s.readReports(in, hello.From, want)
	})
	if s.greet(ctx, conn, wanted.Done()) {
		s.sendUpdates(ctx, conn, hello)
	}
}

// readReports reads reports until the connection ends or the follower sends
// nothing for readTimeout. It calls want when the follower asks for the state.
func (s *Server) readReports(in *bufio.Reader, from HostInfo, want func()) {
	defer want()
	for {
		var r Report
		if err := readFrame(in, &r); err != nil {
			if isUndecodable(err) {
				s.source.FrameFailed(from.Addr, err)
			}
			return
		}
		if r.Sync {
			want()
		}
		if !r.isHeartbeat() {
			s.source.Reported(from, r)
		}
	}
}

// greet sends greetings at heartbeatInterval until the follower wants the state.
// It returns false if the connection ended before.
func (s *Server) greet(ctx context.Context, conn net.Conn, wanted <-chan struct{}) bool {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-wanted:
			return ctx.Err() == nil
		default:
		}
		if !send(conn, s.source.Greeting(), false) {
			return false
		}
		select {
		case <-wanted:
		case <-ticker.C:
		}
	}
}

// sendUpdates sends updates and heartbeats until a write fails or ctx is done.
func (s *Server) sendUpdates(ctx context.Context, conn net.Conn, hello Hello) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var cursor Cursor
	for {
		changed := s.source.Changed()
		frame, next, err := s.nextFrame(hello, cursor)
		if err != nil {
			s.source.FrameFailed(hello.From.Addr, err)
			return // the follower connects again and gets the whole state
		}
		if frame != nil {
			cursor = next
			if _, err := conn.Write(frame); err != nil {
				return
			}
			if !sleep(ctx, minUpdateInterval) {
				return
			}
			continue // more may have changed meanwhile
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if !send(conn, Update{Current: cursor.Current, Synced: true}, false) {
				return
			}
		}
	}
}

// sleep waits for d. It returns false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// nextFrame returns the next frame for a follower and the cursor after it, or nil
// if the follower is up to date. Entry hosts with the same cursor get the same
// frame.
func (s *Server) nextFrame(to Hello, after Cursor) ([]byte, Cursor, error) {
	position := s.source.Position(to.From)
	switch {
	case position == after:
		return nil, after, nil
	case to.From.Control:
		frame, next, _, err := s.encodeNext(to, after)
		return frame, next, err
	}
	key := frameKey{after: after, next: position, compressed: to.Compressed, deltas: to.Deltas}
	return s.frames.get(key, func() ([]byte, Cursor, bool, error) { return s.encodeNext(to, after) })
}

// encodeNext encodes the next update for a follower. It returns nil if the
// follower is up to date. ages reports whether the update holds times that are
// relative to now.
func (s *Server) encodeNext(to Hello, after Cursor) (frame []byte, next Cursor, ages bool, err error) {
	u, next, ok := s.source.Next(to, after)
	if !ok {
		return nil, after, false, nil
	}
	u.Synced = true
	frame, err = encodeFrame(u, to.Compressed)
	return frame, next, u.ages(), err
}
