// Package standin provides a stand-in backend server for demonstrations, load
// tests and other tests. It handles packets, requests and connections, announces
// itself, and counts the packets and requests that it receives.
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
	Address  netip.AddrPort // address of the service; packets to any other count as misdelivered
	Return   netip.AddrPort // UDP address that receives answers to callers
	API      func() string  // returns the API address of an entry host of the zone
	ListenIP string
}

// Server is a running stand-in.
type Server struct {
	Config
	Packets *PacketServer
	HTTP    *HTTPServer

	incarnation     int64
	packetConn      *net.UDPConn
	requestListener net.Listener
	streamListener  net.Listener
	httpServer      *http.Server
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	mu              sync.Mutex
	state           model.BackendState
	muted           atomic.Bool
}

// Start starts a stand-in that announces itself as ready.
func Start(c Config) (*Server, error) {
	s := &Server{Config: c, state: model.Ready, incarnation: time.Now().UnixMicro()}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.Packets = newPacketServer(s.packetConn, c.Address, c.Return)
	s.HTTP = newHTTPServer(c.ID, c.Service, c.Slots)
	s.httpServer = &http.Server{Handler: s.HTTP, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(s.Packets.serve)
	s.wg.Go(func() { _ = s.httpServer.Serve(s.requestListener) })
	s.wg.Go(func() { serveEcho(s.streamListener) })
	s.wg.Go(func() { s.announceLoop(ctx) })
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.packetConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(s.ListenIP)}); err != nil {
		return fmt.Errorf("listen for packets: %w", err)
	}
	if s.requestListener, err = net.Listen("tcp", net.JoinHostPort(s.ListenIP, "0")); err != nil {
		return fmt.Errorf("listen for requests: %w", err)
	}
	if s.streamListener, err = net.Listen("tcp", net.JoinHostPort(s.ListenIP, "0")); err != nil {
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

// SetMuted stops the periodic announcements or starts them again. A muted backend
// server still serves.
func (s *Server) SetMuted(muted bool) { s.muted.Store(muted) }

func (s *Server) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.muted.Load() {
			_ = s.announce(ctx) // if this fails, the next interval repeats it
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
		return fmt.Errorf("announce backend server: %w", err)
	}
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	a := &api.Announcement{
		ID: s.ID, Service: s.Service, Zone: s.Zone, Incarnation: s.incarnation,
		State:          api.AnnouncementState(state),
		PacketAddress:  api.NewOptString(s.packetConn.LocalAddr().String()),
		RequestAddress: api.NewOptString(s.requestListener.Addr().String()),
		StreamAddress:  api.NewOptString(s.streamListener.Addr().String()),
		Slots:          api.NewOptInt(s.Slots),
	}
	if _, err := client.Announce(ctx, a); err != nil {
		return fmt.Errorf("announce backend server: %w", err)
	}
	return nil
}

// Close stops the stand-in at once, without an announcement.
func (s *Server) Close() {
	s.cancel()
	_ = s.packetConn.Close()
	_ = s.streamListener.Close()
	_ = s.httpServer.Close()
	s.wg.Wait()
}
