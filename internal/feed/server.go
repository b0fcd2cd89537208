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
	Revision uint64 // revision of the catalog
	Version  uint64 // version of the document
	Suspects uint64 // revision of the list of suspects
	Peers    uint64 // revision of the list of peers
	Current  bool   // last value of Update.Current
	Started  bool   // whether an update was sent
}

// Source provides the updates that a server sends, and handles reports of
// followers. It is safe for concurrent use.
type Source interface {
	// Next returns the update for a follower that has received everything up to
	// the cursor after, and the new cursor. It returns false if the follower is up
	// to date.
	Next(to HostInfo, after Cursor) (Update, Cursor, bool)
	// Changed returns a channel that is closed at the next change for
	// followers.
	Changed() <-chan struct{}
	// FollowerChanged reports that a follower connected or disconnected.
	FollowerChanged(follower HostInfo, connected bool)
	// Reported handles a report from a follower.
	Reported(follower HostInfo, r Report)
}

// Server serves followers.
type Server struct {
	source   Source
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
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	in := bufio.NewReader(conn)
	var hello Hello
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	if err := readFrame(in, &hello); err != nil {
		return // the peer is not a follower
	}
	s.source.FollowerChanged(hello.From, true)
	defer s.source.FollowerChanged(hello.From, false)
	s.done.Go(func() {
		defer cancel()
		s.readReports(conn, in, hello.From)
	})
	s.sendUpdates(ctx, conn, hello.From)
}

// readReports reads reports until the connection ends or the follower sends
// nothing for readTimeout.
func (s *Server) readReports(conn net.Conn, in *bufio.Reader, from HostInfo) {
	for {
		var r Report
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		if err := readFrame(in, &r); err != nil {
			return
		}
		if len(r.Suspects) > 0 {
			s.source.Reported(from, r)
		}
	}
}

// sendUpdates sends updates and heartbeats until a write fails or ctx is done.
func (s *Server) sendUpdates(ctx context.Context, conn net.Conn, to HostInfo) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var cursor Cursor
	for {
		changed := s.source.Changed()
		update, next, ok := s.source.Next(to, cursor)
		if ok {
			cursor = next
			if !send(conn, update) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			if !send(conn, Update{Current: cursor.Current}) {
				return
			}
		}
	}
}

// send writes one frame. It reports whether that succeeded.
func send(conn net.Conn, v any) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(conn, v) == nil
}
