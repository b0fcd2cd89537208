package emulator

import (
	"context"
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

// patience is the time without an answer after which a flow counts as broken.
// A TCP client waits for minutes.
const patience = 15 * time.Second

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	packet  flow.Packet
	open    bool
	broken  bool
	silent  bool // broken because its packets had no answer
	waiting bool // a packet awaits its answer
	sentAt  time.Time
	since   time.Time // when the packet was first sent
}

// Callers drives flows. Every packet enters through a random entry host.
type Callers struct {
	conn  *net.UDPConn
	rand  *rand.Rand
	entry func() []netip.AddrPort // packet addresses of the entry hosts
	mu    sync.Mutex
	flows map[netip.AddrPort]*callerFlow
}

// NewCallers returns callers without flows, whose choices depend on the seed.
// Answers are taken until Close.
func NewCallers(seed uint64) (*Callers, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen for answers: %w", err)
	}
	c := &Callers{conn: conn, rand: rand.New(rand.NewPCG(seed, 0)), flows: map[netip.AddrPort]*callerFlow{}}
	go c.receive()
	return c, nil
}

// Enter tells the callers where their packets may enter.
func (c *Callers) Enter(entry func() []netip.AddrPort) { c.entry = entry }

// Close ends the callers.
func (c *Callers) Close() { _ = c.conn.Close() }

// Address returns where answers to callers go.
func (c *Callers) Address() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Open starts n flows to the address of a service.
func (c *Callers) Open(service netip.AddrPort, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		i := len(c.flows)
		src := netip.AddrFrom4([4]byte{198, 51, byte(100 + i>>8), byte(i)})
		p := flow.Packet{Src: src, SrcPort: uint16(1024 + i), Proto: 6, SYN: true, Seq: c.rand.Uint32()}
		p.Dst, p.DstPort = service.Addr(), service.Port()
		f := &callerFlow{packet: p}
		c.flows[netip.AddrPortFrom(src, p.SrcPort)] = f
		c.send(f)
	}
}

// Speak sends data on every open flow that awaits no answer.
func (c *Callers) Speak() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.open && !f.broken && !f.waiting {
			c.send(f)
		}
	}
}

// Resend sends again what has had no answer.
func (c *Callers) Resend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.broken || !f.waiting || now.Sub(f.sentAt) < resendAfter {
			continue
		}
		if now.Sub(f.since) > patience {
			f.broken, f.silent = true, true
			continue
		}
		c.send(f)
	}
}

func (c *Callers) send(f *callerFlow) {
	var payload []byte
	if f.open {
		payload = []byte("x")
	}
	data, err := flow.Build(f.packet, payload)
	if err != nil {
		return
	}
	now := time.Now()
	if !f.waiting {
		f.since = now
	}
	f.waiting, f.sentAt = true, now
	entries := c.entry()
	_, _ = c.conn.WriteToUDPAddrPort(data, entries[c.rand.IntN(len(entries))])
}

// receive takes answers until the socket is closed.
func (c *Callers) receive() {
	buf := make([]byte, 65535)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p flow.Packet
		if flow.Parse(buf[:n], &p) == nil {
			c.take(&p)
		}
	}
}

func (c *Callers) take(p *flow.Packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[netip.AddrPortFrom(p.Dst, p.DstPort)]
	if f == nil {
		return
	}
	f.waiting = false
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

// Counts returns how many flows were opened and how many of them broke.
func (c *Callers) Counts() (opened, broken int) {
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

// Silent returns how many flows broke because their packets had no answer.
func (c *Callers) Silent() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.silent {
			n++
		}
	}
	return n
}

// Quiet reports whether no flow awaits an answer.
func (c *Callers) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.waiting && !f.broken {
			return false
		}
	}
	return true
}

// Settle sends again what has no answer until every flow has its answer or is
// broken, or ctx ends.
func (c *Callers) Settle(ctx context.Context) error {
	for !c.Quiet() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("flows await answers: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
		c.Resend(time.Now())
	}
	return nil
}
