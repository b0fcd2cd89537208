package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"greengagequay/internal/flow"
)

// resendAfter is the time after which an unanswered packet is sent again.
const resendAfter = 200 * time.Millisecond

// maxResends is how often a packet is sent again before its flow counts as
// broken.
const maxResends = 10

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	service int
	packet  flow.Packet
	open    bool
	broken  bool
	waiting bool // a packet awaits its answer
	sentAt  time.Time
	resends int
}

// callers drives flows. Every packet enters through a random entry host.
type callers struct {
	conn  *net.UDPConn
	rand  *rand.Rand
	entry func(i int) netip.AddrPort // packet address of an entry host
	mu    sync.Mutex
	flows map[netip.AddrPort]*callerFlow
}

func newCallers(seed uint64) (*callers, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen for answers: %w", err)
	}
	return &callers{conn: conn, rand: rand.New(rand.NewPCG(seed, 0)), flows: map[netip.AddrPort]*callerFlow{}}, nil
}

// address returns where answers to callers go.
func (c *callers) address() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// open starts n flows to a service.
func (c *callers) open(service, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		i := len(c.flows)
		src := netip.AddrFrom4([4]byte{198, 51, byte(100 + i>>8), byte(i)})
		p := flow.Packet{Src: src, SrcPort: uint16(1024 + i), Proto: 6, SYN: true, Seq: c.rand.Uint32()}
		p.Dst, p.DstPort = serviceSpecs[service].address.Addr(), serviceSpecs[service].address.Port()
		f := &callerFlow{service: service, packet: p}
		c.flows[netip.AddrPortFrom(src, p.SrcPort)] = f
		c.send(f)
	}
}

// speak sends data on every open flow that awaits no answer.
func (c *callers) speak() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.open && !f.broken && !f.waiting {
			c.send(f)
		}
	}
}

// resend sends again what has had no answer.
func (c *callers) resend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.broken || !f.waiting || now.Sub(f.sentAt) < resendAfter {
			continue
		}
		f.resends++
		if f.resends > maxResends {
			f.broken = true
			continue
		}
		c.send(f)
	}
}

func (c *callers) send(f *callerFlow) {
	var payload []byte
	if f.open {
		payload = []byte("x")
	}
	data, err := flow.Build(f.packet, payload)
	if err != nil {
		return
	}
	f.waiting, f.sentAt = true, time.Now()
	_, _ = c.conn.WriteToUDPAddrPort(data, c.entry(c.rand.IntN(len(hostSpecs))))
}

// receive takes answers until the socket is closed.
func (c *callers) receive() {
	parser := flow.NewParser()
	buf := make([]byte, 65535)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p flow.Packet
		if parser.Parse(buf[:n], &p) == nil {
			c.take(&p)
		}
	}
}

func (c *callers) take(p *flow.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[netip.AddrPortFrom(p.Dst, p.DstPort)]
	if f == nil {
		return
	}
	f.waiting, f.resends = false, 0
	switch {
	case p.RST:
		f.broken = true
	case p.SYN:
		f.open = true
		f.packet.SYN, f.packet.ACK = false, true
		f.packet.Seq, f.packet.Ack = p.Ack, p.Seq+1
	default:
		f.packet.Seq = p.Ack
	}
}

// counts returns how many flows were opened and how many of them broke.
func (c *callers) counts() (opened, broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.open {
			opened++
		}
		if f.broken {
			broken++
		}
	}
	return opened, broken
}

// quiet reports whether no flow awaits an answer.
func (c *callers) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.waiting && !f.broken {
			return false
		}
	}
	return true
}
