package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Cursor tells what a follower has been sent.
type Cursor struct {
	Revision uint64 // of the catalog
	Version  uint64 // of the document
	Suspects uint64 // suspicions told so far
	Peers    uint64 // revision of the list of peers
	Current  bool
	Started  bool // something was sent
}

// Source is what a server tells its followers. It is safe for concurrent use.
type Source interface {
	// Next returns what a follower lacks and the cursor after it, and false if
	// it lacks nothing.
	Next(to Presence, after Cursor) (Update, Cursor, bool)
	// Changed returns a channel that is closed at the next news.
	Changed() <-chan struct{}
	// Followed notes that a follower is connected, or not any more.
	Followed(by Presence, connected bool)
	// Reported takes what a follower has seen.
	Reported(by Presence, r Report)
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

// Close ends all connections.
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

// serve reads the hello of a follower and tells it what it lacks until one
// side goes.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	in := bufio.NewReader(conn)
	var hello Hello
	_ = conn.SetReadDeadline(time.Now().Add(silenceLimit))
	if err := readFrame(in, &hello); err != nil {
		return // not a follower
	}
	s.source.Followed(hello.From, true)
	defer s.source.Followed(hello.From, false)
	s.done.Go(func() {
		defer cancel()
		s.hear(conn, in, hello.From)
	})
	s.tell(ctx, conn, hello.From)
}

// hear reads reports until the follower goes or falls silent.
func (s *Server) hear(conn net.Conn, in *bufio.Reader, from Presence) {
	for {
		var r Report
		_ = conn.SetReadDeadline(time.Now().Add(silenceLimit))
		if err := readFrame(in, &r); err != nil {
			return
		}
		if len(r.Suspects) > 0 {
			s.source.Reported(from, r)
		}
	}
}

func (s *Server) tell(ctx context.Context, conn net.Conn, to Presence) {
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	var cursor Cursor
	for {
		changed := s.source.Changed()
		update, next, news := s.source.Next(to, cursor)
		if news {
			cursor = next
			if !send(conn, update) {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			if !send(conn, Update{Current: cursor.Current}) {
				return
			}
		}
	}
}

func send(conn net.Conn, v any) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(conn, v) == nil
}
