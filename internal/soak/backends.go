package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"greengagequay/platform/standin"
)

// flowKey names a flow.
type flowKey struct{ from, to netip.AddrPort }

func keyOf(p standin.Packet) flowKey { return flowKey{p.From, p.To} }

// sum covers what nobody between the ends may change.
func sum(p standin.Packet) uint32 {
	p.Token, p.Sum = 0, 0
	return crc32.ChecksumIEEE(p.Encode())
}

// backends is the stand-in backend servers.
type backends struct {
	mu    sync.Mutex
	alive []*backend
	born  int64
}

// backend is one start of a stand-in backend server.
type backend struct {
	soak     *soak
	id       string
	number   uint64
	service  int
	born     int64
	conn     *net.UDPConn
	mu       sync.Mutex
	flows    map[flowKey]bool
	sequence uint64
	draining bool
	darkAt   time.Time // when it last fell silent or spoke again
	dark     bool
	drainAck time.Time
	ended    bool
}

func (s *soak) newBackends() (*backends, error) {
	f := &backends{born: 1_700_000_000_000}
	for service := range services {
		for range perService {
			if err := s.addBackend(f, service); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// addBackend starts a backend server.
func (s *soak) addBackend(f *backends, service int) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return fmt.Errorf("start a backend server: %w", err)
	}
	f.mu.Lock()
	f.born++
	number := uint64(rand.Uint32())
	b := &backend{
		soak: s, id: fmt.Sprintf("i-%x", number), number: number, service: service, born: f.born, conn: conn,
		flows: map[flowKey]bool{},
	}
	f.alive = append(f.alive, b)
	f.mu.Unlock()
	context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	s.done.Go(b.serve)
	s.done.Go(b.announce)
	return nil
}

// pick returns any backend server that takes flows.
func (f *backends) pick(rng *rand.Rand) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.alive[rng.IntN(len(f.alive))]
}

func (f *backends) remove(b *backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.alive {
		if x == b {
			f.alive = append(f.alive[:i:i], f.alive[i+1:]...)
			return
		}
	}
}

func (f *backends) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.alive {
		b.end()
	}
}

func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.darkAt = true, time.Now()
	_ = b.conn.Close()
}

func (b *backend) setDark(dark bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dark, b.darkAt = dark, time.Now()
}

// healthy reports whether it has run undisturbed for long enough that promises
// about its flows hold.
func (b *backend) healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && !b.dark && time.Since(b.darkAt) > calmBound
}

// announce sends heartbeats to any control host.
func (b *backend) announce() {
	rng := rand.New(rand.NewPCG(b.number, 1))
	for {
		b.mu.Lock()
		b.sequence++
		beat := standin.Heartbeat{
			Service: services[b.service], Address: b.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Zone: "zone-0", Slots: 2,
			State: "ready", Sequence: b.sequence, Born: b.born,
		}
		if b.draining {
			beat.State = "draining"
		}
		dark, ended := b.dark, b.ended
		b.mu.Unlock()
		if ended {
			return
		}
		if !dark {
			status, _ := b.soak.call(b.soak.control(rng), http.MethodPost, standin.HeartbeatPath(b.id), standin.Encode(beat))
			b.acknowledged(beat, status)
		}
		if !b.soak.pause(heartbeat) {
			return
		}
	}
}

func (b *backend) acknowledged(beat standin.Heartbeat, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status == http.StatusOK && beat.State == "draining" && b.drainAck.IsZero() {
		b.drainAck = time.Now()
	}
}

// serve takes packets.
func (b *backend) serve() {
	buf := make([]byte, 2048)
	for {
		n, err := b.conn.Read(buf)
		if err != nil {
			return // it has ended
		}
		if n < standin.TargetBytes {
			b.soak.checks.violate("backend %s got %d bytes", b.id, n)
			continue
		}
		target := binary.BigEndian.Uint64(buf)
		p, err := standin.Decode(buf[standin.TargetBytes:n])
		if err != nil {
			b.soak.checks.violate("backend %s: %v", b.id, err)
			continue
		}
		b.mu.Lock()
		dark := b.dark
		b.mu.Unlock()
		if !dark && target == b.number {
			b.take(p)
		}
	}
}

func (b *backend) take(p standin.Packet) {
	if sum(p) != p.Sum {
		b.soak.checks.violate("backend %s got a packet that its sender did not write so", b.id)
		return
	}
	if p.Flags&standin.SYN != 0 {
		b.open(p)
		return
	}
	b.mu.Lock()
	known := b.flows[keyOf(p)]
	b.mu.Unlock()
	if owner := b.soak.checks.owner(keyOf(p)); owner != nil && owner != b && owner.healthy() {
		b.soak.checks.violate("a packet of a flow of backend %s reached backend %s", owner.id, b.id)
		return
	}
	flags := byte(standin.ACK)
	if !known {
		flags = standin.RST
	}
	b.answer(p, flags, p.Data)
}

// open takes a new flow.
func (b *backend) open(p standin.Packet) {
	if p.To != b.soak.layout.route(b.service) {
		b.soak.checks.violate("a flow to %v opened at backend %s of service %s", p.To, b.id, services[b.service])
	}
	b.mu.Lock()
	late := !b.drainAck.IsZero() && time.Since(b.drainAck) > drainBound
	since := b.drainAck
	b.flows[keyOf(p)] = true
	b.mu.Unlock()
	if late && b.soak.checks.calmSince(since) {
		b.soak.checks.violate("backend %s got a new flow %v after its drain was acknowledged", b.id, time.Since(since))
	}
	b.answer(p, standin.SYN|standin.ACK, nil)
}

// answer sends a packet to the caller, with the token of the one it got.
func (b *backend) answer(p standin.Packet, flags byte, data []byte) {
	back := standin.Packet{
		Token: p.Token, From: p.To, To: p.From, Sequence: uint32(b.number), Ack: p.Sequence, Flags: flags, Data: data,
	}
	back.Sum = sum(back)
	to := netip.AddrPortFrom(p.From.Addr(), uint16(b.soak.layout.base+portPackets))
	_, _ = b.conn.WriteToUDPAddrPort(back.Encode(), to) // the caller asks again
}
