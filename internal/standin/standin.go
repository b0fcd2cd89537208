// Package standin is a stand-in backend server for demonstrations, load and
// tests. It takes packets, requests and connections, announces itself, and
// counts what it was given.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"greengagequay/internal/api"
	"greengagequay/internal/model"
)

// announceInterval is the time between announcements.
const announceInterval = time.Second

// Config describes a stand-in.
type Config struct {
	ID       string
	Service  string
	Zone     string
	Slots    int
	Address  netip.AddrPort // of the service, to find misdelivered packets
	Return   netip.AddrPort // UDP address that takes packets to callers
	API      func() string  // API address of an entry host of the zone
	ListenIP string
}

// Server is a running stand-in.
type Server struct {
	Config
	Packets *PacketServer
	HTTP    *HTTPServer

	incarnation int64
	udp         *net.UDPConn
	request     net.Listener
	stream      net.Listener
	web         *http.Server
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	mu          sync.Mutex
	state       model.BackendState
	muted       atomic.Bool
}

// Start starts a stand-in that announces itself as ready.
func Start(c Config) (*Server, error) {
	s := &Server{Config: c, state: model.Ready, incarnation: time.Now().UnixMicro()}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.Packets = newPacketServer(s.udp, c.Address, c.Return)
	s.HTTP = newHTTPServer(c.ID, c.Service, c.Slots)
	s.web = &http.Server{Handler: s.HTTP, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(s.Packets.serve)
	s.wg.Go(func() { _ = s.web.Serve(s.request) })
	s.wg.Go(func() { serveEcho(s.stream) })
	s.wg.Go(func() { s.announceLoop(ctx) })
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(s.ListenIP)}); err != nil {
		return fmt.Errorf("listen for packets: %w", err)
	}
	if s.request, err = net.Listen("tcp", net.JoinHostPort(s.ListenIP, "0")); err != nil {
		return fmt.Errorf("listen for requests: %w", err)
	}
	if s.stream, err = net.Listen("tcp", net.JoinHostPort(s.ListenIP, "0")); err != nil {
		return fmt.Errorf("listen for connections: %w", err)
	}
	return nil
}

// SetState changes the announced state and announces it at once.
func (s *Server) SetState(ctx context.Context, state model.BackendState) error {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	return s.announce(ctx)
}

// Mute stops the announcements, or lets them go on. The backend server serves
// all the same.
func (s *Server) Mute(muted bool) { s.muted.Store(muted) }

func (s *Server) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.muted.Load() {
			_ = s.announce(ctx) // repeated at the next interval
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (s *Server) announce(ctx context.Context) error {
	client, err := api.NewClient("http://" + s.API())
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	a := &api.Announcement{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Incarnation: s.incarnation,
		State:          api.AnnouncementState(state),
		PacketAddress:  api.NewOptString(s.udp.LocalAddr().String()),
		RequestAddress: api.NewOptString(s.request.Addr().String()),
		StreamAddress:  api.NewOptString(s.stream.Addr().String()),
		Slots:          api.NewOptInt(s.Slots),
	}
	if _, err := client.Announce(ctx, a); err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	return nil
}

// Close stops the stand-in at once.
func (s *Server) Close() {
	s.cancel()
	_ = s.udp.Close()
	_ = s.stream.Close()
	_ = s.web.Close()
	s.wg.Wait()
}
