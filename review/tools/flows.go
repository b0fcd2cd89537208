package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Flags of a packet.
const (
	flagFIN = 8
	flagACK = 32
	flagSYN = 64
	flagRST = 128
)

const (
	headerBytes = 32
	targetBytes = 8
)

// packet is a packet between a client and a backend.
type packet struct {
	Echo     uint32
	From, To netip.AddrPort
	Seq, Ack uint32
	Sum      uint32
	Flags    byte
	Data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.Data))
	from, to := p.From.Addr().As4(), p.To.Addr().As4()
	binary.BigEndian.PutUint32(b, p.Echo)
	binary.BigEndian.PutUint16(b[4:], p.From.Port())
	copy(b[6:], from[:])
	copy(b[10:], to[:])
	binary.BigEndian.PutUint16(b[14:], p.To.Port())
	binary.BigEndian.PutUint32(b[16:], p.Seq)
	binary.BigEndian.PutUint32(b[20:], p.Ack)
	binary.BigEndian.PutUint32(b[24:], p.Sum)
	b[28] = p.Flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.Data)))
	return append(b, p.Data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b)-headerBytes != int(binary.BigEndian.Uint16(b[30:])) {
		return packet{}, false
	}
	return packet{
		Echo: binary.BigEndian.Uint32(b),
		From: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[6:10])), binary.BigEndian.Uint16(b[4:])),
		To:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[14:])),
		Seq:  binary.BigEndian.Uint32(b[16:]), Ack: binary.BigEndian.Uint32(b[20:]), Sum: binary.BigEndian.Uint32(b[24:]),
		Flags: b[28], Data: append([]byte(nil), b[headerBytes:]...),
	}, true
}

// sign returns the packet with its sum, which covers all but the echo. It is never
// 0, so that a reset of the system's own can be told apart.
func (p packet) sign() packet {
	q := p
	q.Echo, q.Sum = 0, 0
	p.Sum = crc32.ChecksumIEEE(q.encode()) | 1
	return p
}

type flowKey struct{ client, route netip.AddrPort }

// backend is a stand-in backend: it announces itself, takes flows and answers
// requests.
type backend struct {
	d       *deployment
	id      string
	number  uint64
	service string
	zone    string
	born    int64
	conn    *net.UDPConn
	mu      sync.Mutex
	seq     uint64
	state   string
	home    int // control host that gets the heartbeats
	flows   map[flowKey]uint32
	opened  int // opening packets taken
	acked   map[string]time.Time
}

func newBackend(d *deployment, service, zone string, home int) (*backend, error) {
	return newBackendAt(d, service, zone, home, fmt.Sprintf("127.12.0.%d:0", home+1))
}

func newBackendAt(d *deployment, service, zone string, home int, address string) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return nil, err
	}
	number := uint64(rand.Uint32())
	return &backend{
		d: d, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone, born: time.Now().UnixMilli(),
		conn: conn, state: "ready", home: home, flows: map[flowKey]uint32{}, acked: map[string]time.Time{},
	}, nil
}

func (b *backend) address() string { return b.conn.LocalAddr().String() }

func (b *backend) heartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address(), "zone": b.zone, "version": "v1", "slots": 3, "state": b.state,
		"warmupLeftMs": 0, "seq": b.seq, "born": b.born,
	})
	return body
}

// announce sends heartbeats until stop is closed. After a failure it calls the next
// control host.
func (b *backend) announce(stop chan struct{}) {
	for {
		body := b.heartbeat()
		for range b.d.controls {
			status, _ := b.d.call(b.d.controls[b.home%len(b.d.controls)], http.MethodPost, "/api/Instances.Heartbeat/"+b.id, body, callTimeout)
			if status == http.StatusOK {
				b.mu.Lock()
				if _, ok := b.acked[b.state]; !ok {
					b.acked[b.state] = time.Now()
				}
				b.mu.Unlock()
				break
			}
			b.home++
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// serve handles packets until the socket is closed.
func (b *backend) serve() {
	buf := make([]byte, 4096)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < targetBytes {
			continue
		}
		target := binary.BigEndian.Uint64(buf)
		p, ok := decode(buf[targetBytes:n])
		if !ok || target != 0 && target != b.number {
			continue
		}
		b.handle(p)
	}
}

func (b *backend) handle(p packet) {
	key := flowKey{p.From, p.To}
	b.mu.Lock()
	own, known := b.flows[key]
	if p.Flags&flagSYN != 0 {
		if !known {
			own = rand.Uint32()
			b.flows[key] = own
			b.opened++
		}
		b.mu.Unlock()
		b.send(packet{Echo: p.Echo, From: p.To, To: p.From, Seq: own, Ack: p.Seq + 1, Flags: flagSYN | flagACK})
		return
	}
	b.mu.Unlock()
	switch {
	case p.Flags&flagRST != 0:
	case !known:
		b.send(packet{Echo: p.Echo, From: p.To, To: p.From, Seq: p.Ack, Flags: flagRST})
	case len(p.Data) > 0:
		answer := append([]byte(b.id+" "), p.Data...)
		b.send(packet{Echo: p.Echo, From: p.To, To: p.From, Seq: p.Ack, Ack: p.Seq + uint32(len(p.Data)), Flags: flagACK, Data: answer})
	}
}

// send sends a packet to the client's address, at the port of datagramAddr.
func (b *backend) send(p packet) {
	to := netip.AddrPortFrom(p.To.Addr(), uint16(b.d.base+portPackets))
	_, _ = b.conn.WriteToUDPAddrPort(p.sign().encode(), to)
}

// client is a stand-in client with one address, which keeps flows open.
type client struct {
	d     *deployment
	addr  netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	inbox map[uint16]chan packet
	port  uint16
}

func newClient(d *deployment, n int) (*client, error) {
	addr := netip.MustParseAddr(fmt.Sprintf("127.13.0.%d", n+1))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(d.base+portPackets))))
	if err != nil {
		return nil, err
	}
	c := &client{d: d, addr: addr, conn: conn, inbox: map[uint16]chan packet{}, port: 40000}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		inbox := c.inbox[p.To.Port()]
		c.mu.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// flow is one flow of a client. All its packets go to one entry host.
type flow struct {
	c       *client
	entry   *process
	key     flowKey
	inbox   chan packet
	echo    uint32
	seq     uint32
	ack     uint32
	backend string
}

func (c *client) newFlow(entry *process, to netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{c: c, entry: entry, key: flowKey{netip.AddrPortFrom(c.addr, c.port), to}, inbox: make(chan packet, 32), seq: rand.Uint32()}
	c.inbox[c.port] = f.inbox
	return f
}

func (f *flow) send(p packet) {
	p.From, p.To, p.Echo = f.key.client, f.key.route, f.echo
	to := netip.MustParseAddrPort(f.entry.addr(portPackets))
	_, _ = f.c.conn.WriteToUDPAddrPort(p.sign().encode(), to)
}

func (f *flow) await(limit time.Duration, wanted func(packet) bool) (packet, bool) {
	timeout := time.After(limit)
	for {
		select {
		case p := <-f.inbox:
			if wanted(p) {
				return p, true
			}
		case <-timeout:
			return packet{}, false
		}
	}
}

// open opens the flow. It returns "open", "reset" or "no answer".
func (f *flow) open() string {
	for n, wait := range []time.Duration{200, 400, 800} {
		f.send(packet{Seq: f.seq, Ack: uint32(n), Flags: flagSYN})
		p, ok := f.await(wait*time.Millisecond, func(p packet) bool { return p.Flags&(flagSYN|flagRST) != 0 })
		switch {
		case !ok:
			continue
		case p.Flags&flagRST != 0:
			return "reset"
		}
		f.echo, f.ack = p.Echo, p.Seq+1
		f.seq++
		return "open"
	}
	return "no answer"
}

// request sends one request and waits for its answer. It returns the answer, or how
// it ended otherwise: "reset by the system", "reset by a backend" or "no answer".
func (f *flow) request(id string) string {
	data := []byte("GET /x HTTP/1.1\r\nX-Request-Id: " + id + "\r\n\r\n")
	wait := 200 * time.Millisecond
	for range 4 {
		f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK, Data: data})
		p, ok := f.await(wait, func(p packet) bool {
			return p.Flags&flagRST != 0 || p.Ack == f.seq+uint32(len(data)) && len(p.Data) > 0
		})
		switch {
		case !ok:
			wait *= 2
			continue
		case p.Flags&flagRST != 0 && p.Sum == 0:
			return "reset by the system"
		case p.Flags&flagRST != 0:
			return "reset by a backend"
		}
		f.seq += uint32(len(data))
		f.echo, f.ack = p.Echo, p.Seq+uint32(len(p.Data))
		f.backend = string(p.Data[:len("i-00000000")])
		return "answered"
	}
	return "no answer"
}
