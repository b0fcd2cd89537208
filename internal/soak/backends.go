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

// flowKey identifies a flow by the addresses of its caller and its service.
type flowKey struct{ from, to netip.AddrPort }

func keyOf(p standin.Packet) flowKey { return flowKey{p.From, p.To} }

// sum returns the checksum of a packet without its token and its checksum. No
// host between the caller and the backend server may change the other fields.
func sum(p standin.Packet) uint32 {
	p.Token, p.Sum = 0, 0
	return crc32.ChecksumIEEE(p.Encode())
}

// backends holds the stand-in backend servers.
type backends struct {
	mu          sync.Mutex
	alive       []*backend // those that have not been replaced
	incarnation int64      // incarnation of the backend server that started last
}

// backend is one incarnation of a stand-in backend server.
type backend struct {
	soak         *soak
	id           string
	number       uint64 // the number in its id; entry hosts send it before each packet
	service      int
	zone         int
	incarnation  int64
	conn         *net.UDPConn
	mu           sync.Mutex
	flows        map[flowKey]bool
	sequence     uint64
	draining     bool
	disturbedAt  time.Time // when it last became unresponsive or responsive, or ended
	unresponsive bool      // it neither announces itself nor handles packets
	drainAck     time.Time // when a control host first acknowledged its drain
	ended        bool
	answering    answering
	opened       int // number of flows that were opened
	warmth       warmth
}

func (s *soak) newBackends() (*backends, error) {
	f := &backends{incarnation: 1_700_000_000_000}
	for service := range services {
		for n := range backendsPerService {
			if err := s.addBackend(f, service, n%zoneCount, uint64(rand.Uint32())); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// addBackend starts a backend server. number is the number in its id.
func (s *soak) addBackend(f *backends, service, zone int, number uint64) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	f.mu.Lock()
	f.incarnation++
	b := &backend{
		soak: s, id: fmt.Sprintf("i-%x", number), number: number, service: service, zone: zone, incarnation: f.incarnation, conn: conn,
		flows: map[flowKey]bool{},
	}
	b.warmth.begin(time.Now())
	f.alive = append(f.alive, b)
	f.mu.Unlock()
	context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	s.tasks.Go(b.serve)
	s.tasks.Go(b.announce)
	return nil
}

// pick returns a random backend server of those that have not been replaced.
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
	b.ended, b.disturbedAt = true, time.Now()
	_ = b.conn.Close()
}

func (b *backend) setUnresponsive(unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresponsive, b.disturbedAt = unresponsive, time.Now()
}

// healthy reports whether the backend server runs, and has done so without a
// fault of its own for long enough that no flow of it may break or move.
func (b *backend) healthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended && !b.unresponsive && time.Since(b.disturbedAt) > settleBound
}

// announce sends an announcement to a random control host at each heartbeat
// interval.
func (b *backend) announce() {
	rng := rand.New(rand.NewPCG(b.number, 1))
	for {
		b.mu.Lock()
		b.sequence++
		announcement := standin.Heartbeat{
			Service: services[b.service], Address: standin.LocalAddr(b.conn), Zone: zoneName(b.zone), Slots: 2,
			State: "ready", Sequence: b.sequence, Born: b.incarnation,
		}
		if b.draining {
			announcement.State = "draining"
		}
		announcement.WarmMs = int(b.warmth.left(time.Now()).Milliseconds())
		unresponsive, ended := b.unresponsive, b.ended
		b.mu.Unlock()
		if ended {
			return
		}
		if !unresponsive {
			status, _ := b.soak.call(b.soak.control(rng), http.MethodPost, standin.HeartbeatPath(b.id), standin.Encode(announcement))
			b.recordDrainAck(announcement, status)
			b.recordColdAck(announcement, status)
		}
		if !b.soak.sleep(heartbeatInterval) {
			return
		}
	}
}

// recordDrainAck records the time when a control host has accepted a draining
// announcement for the first time. status is the answer to the announcement.
func (b *backend) recordDrainAck(announcement standin.Heartbeat, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status == http.StatusOK && announcement.State == "draining" && b.drainAck.IsZero() {
		b.drainAck = time.Now()
	}
}

// serve handles packets until the socket is closed.
func (b *backend) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // the socket is closed
		}
		if n < standin.TargetBytes {
			b.soak.checks.addViolation("backend %s got a packet of only %d bytes", b.id, n)
			continue
		}
		target := binary.BigEndian.Uint64(buf)
		p, err := standin.Decode(buf[standin.TargetBytes:n])
		if err != nil {
			b.soak.checks.addViolation("backend %s: %v", b.id, err)
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		b.mu.Lock()
		unresponsive := b.unresponsive
		b.mu.Unlock()
		if !unresponsive && target == b.number {
			b.handle(p, from.Addr())
		}
	}
}

// handle checks and answers a packet. A packet of a flow that belongs to another,
// healthy backend server is a violation. A packet of any other unknown flow gets a
// reset. entry is the address of the entry host that sent the packet.
func (b *backend) handle(p standin.Packet, entry netip.Addr) {
	if sum(p) != p.Sum {
		b.soak.checks.addViolation("backend %s got a packet with a wrong checksum", b.id)
		return
	}
	if p.Flags&standin.SYN != 0 {
		b.openFlow(p, entry)
		return
	}
	b.mu.Lock()
	known := b.flows[keyOf(p)]
	if p.Flags&standin.FIN != 0 {
		delete(b.flows, keyOf(p))
	}
	answering, cold := b.answering, b.warmth.left(time.Now()) > 0
	b.mu.Unlock()
	if owner := b.soak.checks.owner(keyOf(p)); owner != nil && owner != b && owner.healthy() {
		b.soak.checks.addViolation("a packet of a flow of backend %s reached backend %s", owner.id, b.id)
		return
	}
	switch {
	case !known:
		b.answer(p, standin.RST, nil)
	case len(p.Data) > 0:
		data := answerTo(p.Data, answering == errorAnswers)
		time.AfterFunc(answering.latency(cold), func() { b.answer(p, standin.ACK, data) })
	}
}

// openFlow accepts a new flow, or refuses it.
func (b *backend) openFlow(p standin.Packet, entry netip.Addr) {
	if p.To != b.soak.layout.serviceAddr(b.service) {
		b.soak.checks.addViolation("a new flow to %v reached backend %s of service %s", p.To, b.id, services[b.service])
	}
	b.mu.Lock()
	late := !b.drainAck.IsZero() && time.Since(b.drainAck) > drainBound
	since := b.drainAck
	known := b.flows[keyOf(p)]
	refuses := b.answering == refusedConnections && !known
	if !known {
		b.opened++
		b.checkCold(time.Now(), entry)
	}
	b.flows[keyOf(p)] = !refuses
	b.mu.Unlock()
	if late && b.soak.checks.settledBefore(since) {
		b.soak.checks.addViolation("backend %s got a new flow %v after the acknowledgement of its drain", b.id, time.Since(since))
	}
	b.soak.checks.flowInZone(b.zone, b.id)
	if refuses {
		b.answer(p, standin.RST, nil)
		return
	}
	b.answer(p, standin.SYN|standin.ACK, nil)
}

// answer sends the caller a packet with the token of the packet p.
func (b *backend) answer(p standin.Packet, flags byte, data []byte) {
	reply := standin.Packet{
		Token: p.Token, From: p.To, To: p.From, Sequence: uint32(b.number), Ack: p.Sequence, Flags: flags, Data: data,
	}
	reply.Sum = sum(reply)
	to := netip.AddrPortFrom(p.From.Addr(), uint16(b.soak.layout.base+portPackets))
	_, _ = b.conn.WriteToUDPAddrPort(reply.Encode(), to) // if this fails, the caller sends its packet again
}
