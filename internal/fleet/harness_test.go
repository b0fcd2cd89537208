package fleet_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/eventlog"
	"greengagequay/internal/fleet"
	"greengagequay/platform"
	"greengagequay/platform/standin"
)

// system is a deployment on loopback: each host has its own address, and
// all use the same ports.
type system struct {
	t        *testing.T
	base     int // first port of each host
	folder   string
	controls map[int]*fleet.ControlHost
	log      *eventlog.Log
	adjust   func(*fleet.Config) // changes the settings of each host, or nil

	contracts []string          // of all hosts
	zones     map[string]string // of control hosts
}

// portsPerHost is the number of ports of a host: packets, readiness check, API,
// metrics, feed and replicated log, in this order.
const portsPerHost = 6

// newSystem finds a range of ports that is free on the addresses of all hosts.
func newSystem(t *testing.T) *system {
	for {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		base := probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		if base+portsPerHost < 65536 && isPortRangeFree(base) {
			log := eventlog.New(io.Discard, "test", time.Now)
			t.Cleanup(func() { log.Close(time.Second) })
			return &system{t: t, base: base, folder: t.TempDir(), controls: map[int]*fleet.ControlHost{}, log: log}
		}
	}
}

func isPortRangeFree(base int) bool {
	for host := 1; host <= 9; host++ {
		for port := base; port < base+portsPerHost; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(host), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func ip(host int) string { return fmt.Sprintf("127.0.0.%d", host) }

func (s *system) addr(host, port int) string { return fmt.Sprintf("%s:%d", ip(host), s.base+port) }

func (s *system) config(host int, role fleet.Role, firstStart bool) fleet.Config {
	data := ""
	if role == fleet.Control {
		data = filepath.Join(s.folder, fmt.Sprint(host))
	}
	cfg := fleet.Config{
		Name: fmt.Sprintf("h%d", host), Role: role, Zone: fmt.Sprintf("z%d", host%3), IP: ip(host),
		Packets: s.addr(host, 0), Ready: s.addr(host, 1), API: s.addr(host, 2), Metrics: s.addr(host, 3),
		Internal: []int{s.base + 4, s.base + 5}, Seeds: []string{s.addr(1, 2), s.addr(2, 2), s.addr(3, 2)},
		FirstStart: firstStart, Data: data, HeartbeatMs: 60_000, TolerateLoss: 1, Contracts: s.contracts, Zones: s.zones,
	}
	if s.adjust != nil {
		s.adjust(&cfg)
	}
	return cfg
}

func (s *system) startControl(host int, firstStart bool) {
	h, err := fleet.StartControl(s.config(host, fleet.Control, firstStart), platform.Adapter{}, s.log)
	qt.Assert(s.t, err, qt.IsNil)
	s.controls[host] = h
	s.t.Cleanup(func() { s.stopControl(host) })
}

// startControls starts the three control hosts of a new deployment.
func (s *system) startControls() {
	for host := 1; host <= 3; host++ {
		s.startControl(host, true)
	}
}

// restartControls starts the control hosts from their disks.
func (s *system) restartControls() {
	for host := 1; host <= 3; host++ {
		s.startControl(host, false)
	}
}

func (s *system) stopControls() {
	for host := range s.controls {
		s.stopControl(host)
	}
}

func (s *system) stopControl(host int) {
	if h := s.controls[host]; h != nil {
		delete(s.controls, host)
		h.Stop()
	}
}

func (s *system) startEntry(host int) { s.startEntryWith(s.config(host, fleet.Entry, true)) }

func (s *system) startEntryWith(cfg fleet.Config) {
	h, err := fleet.StartEntry(cfg, platform.Adapter{}, s.log)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(h.Stop)
}

// call calls a control host's API and returns the status and the body. The status
// is 0 if there was no complete answer.
func (s *system) call(host int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+s.addr(host, 2)+path, strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	return sendRequest(req)
}

func sendRequest(req *http.Request) (int, string) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// eventually calls fn until it returns true. Only the timeout of the test run
// ends it otherwise.
func eventually(fn func() bool) {
	for !fn() {
		time.Sleep(10 * time.Millisecond)
	}
}

var (
	callerAddr = netip.MustParseAddr("127.0.0.8")
	routeAddr  = netip.MustParseAddrPort("198.18.0.1:443")
)

func document(version int) string {
	return string(standin.Encode(standin.Document{
		Version: uint64(version), Services: []standin.Service{{Name: "orders"}},
		Routes: []standin.Route{standin.RouteTo("orders", routeAddr)},
	}))
}

func (s *system) put(host, version int) {
	eventually(func() bool {
		status, _ := s.call(host, "POST", standin.PutPath, document(version))
		return status == http.StatusOK
	})
}

func (s *system) get(host int) string {
	body := ""
	eventually(func() bool {
		var status int
		status, body = s.call(host, "GET", standin.GetPath, "")
		return status == http.StatusOK
	})
	return body
}

// backend is a backend server that receives packets and answers none.
type backend struct {
	id       string
	zone     string
	conn     *net.UDPConn
	sequence uint64
}

func (s *system) backend(id string) *backend {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = conn.Close() })
	return &backend{id: id, zone: "z1", conn: conn}
}

// heartbeat returns the body of a backend server's next announcement.
func (s *system) heartbeat(b *backend, state string) []byte {
	b.sequence++
	return standin.Encode(standin.Heartbeat{
		Service: "orders", Address: standin.LocalAddr(b.conn), Zone: b.zone, Slots: 2,
		State: state, Sequence: b.sequence, Born: 1_700_000_000_000,
	})
}

func (s *system) announce(host int, b *backend, state string) {
	status, _ := s.call(host, "POST", standin.HeartbeatPath(b.id), string(s.heartbeat(b, state)))
	qt.Assert(s.t, status, qt.Equals, http.StatusOK)
}

// announceAfterRestart announces a ready backend server to a control host that rejects
// announcements until it has read its document.
func (s *system) announceAfterRestart(host int, b *backend) {
	eventually(func() bool {
		status, _ := s.call(host, "POST", standin.HeartbeatPath(b.id), string(s.heartbeat(b, "ready")))
		return status == http.StatusOK
	})
}

// receive returns the target and the packet of the next datagram.
func (b *backend) receive(t *testing.T) (target uint64, packet []byte) {
	buf := make([]byte, 2048)
	n, err := b.conn.Read(buf)
	qt.Assert(t, err, qt.IsNil)
	return binary.BigEndian.Uint64(buf), buf[standin.TargetBytes:n]
}

// packet returns a packet of a caller: an opening packet if the token is 0, else
// one with the start of a request.
func packet(port uint16, token uint32) []byte {
	p := standin.Packet{Token: token, From: netip.AddrPortFrom(callerAddr, port), To: routeAddr, Flags: standin.SYN}
	if token != 0 {
		p.Flags, p.Data = standin.ACK, []byte("GET / HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n")
	}
	return p.Encode()
}

func (s *system) sendTo(host int, datagram []byte) {
	conn, err := net.Dial("udp4", s.addr(host, 0))
	qt.Assert(s.t, err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(datagram)
	qt.Assert(s.t, err, qt.IsNil)
}

func (s *system) isReady(host int) bool {
	req, err := http.NewRequest("GET", "http://"+s.addr(host, 1)+standin.ReadyPath, nil)
	qt.Assert(s.t, err, qt.IsNil)
	status, _ := sendRequest(req)
	return status == http.StatusOK
}

func (s *system) waitReady(host int) { eventually(func() bool { return s.isReady(host) }) }
