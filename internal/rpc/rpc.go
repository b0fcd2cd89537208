// Package rpc carries calls between the processes of the system over net/rpc.
// It keeps one connection per peer, ends each call with its context and counts
// bytes.
package rpc

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"

	"greengagequay/internal/fault"
)

// Server serves calls from peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	bytes    *atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server on the listener. It adds the bytes that it sends and
// receives to bytes.
func NewServer(l net.Listener, bytes *atomic.Int64) *Server {
	return &Server{rpc: rpc.NewServer(), listener: l, bytes: bytes, conns: map[net.Conn]struct{}{}}
}

// Register makes the exported methods of receiver callable as name.Method.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		counted := &countingConn{Conn: conn, bytes: s.bytes}
		if !s.track(counted) {
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeConn(counted)
			s.untrack(counted)
		}()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func unavailable(addr, method string, err error) error {
	return fault.New(fault.Unavailable, "check the host and the network path to it", "call %s at %s: %w", method, addr, err)
}

const separator = "\x1f"

// EncodeError returns an error whose text carries the kind, message and remedy of
// err through net/rpc. Methods that peers call must return their errors through
// it.
func EncodeError(err error) error {
	if err == nil {
		return nil
	}
	e := fault.From(err)
	return errors.New(strings.Join([]string{string(e.Kind), e.Message, e.Remedy}, separator))
}

func decodeError(text string) error {
	parts := strings.Split(text, separator)
	if len(parts) != 3 {
		return fault.New(fault.Internal, "see the log of the called host", "%s", text)
	}
	return &fault.Error{Kind: fault.Kind(parts[0]), Message: parts[1], Remedy: parts[2]}
}
