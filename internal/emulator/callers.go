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

// answerTimeout is the time without an answer after which a flow counts as
// broken. It is shorter than that of a TCP client, which waits for minutes.
const answerTimeout = 15 * time.Second

// callerFlow is the caller's state of one flow.
type callerFlow struct {
	packet      flow.Packet
	open        bool
	broken      bool
	unanswered  bool      // broken because a packet was not answered within answerTimeout
	waiting     bool      // a packet has not been answered yet
	lastSentAt  time.Time // when the packet was last sent
	firstSentAt time.Time // when the packet was first sent
}

// Callers opens flows and sends packets on them. Every packet is sent to a random
// entry host.
type Callers struct {
	conn       *net.UDPConn
	rand       *rand.Rand
	entryAddrs func() []netip.AddrPort // packet addresses of the entry hosts
	mu         sync.Mutex
	flows      map[netip.AddrPort]*callerFlow
}

// NewCallers returns callers without flows, which receive answers until Close.
// The seed determines their random choices.
func NewCallers(seed uint64) (*Callers, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen for answers: %w", err)
	}
	c := &Callers{conn: conn, rand: rand.New(rand.NewPCG(seed, 0)), flows: map[netip.AddrPort]*callerFlow{}}
	go c.receive()
	return c, nil
}

// SetEntries sets the function that returns the packet addresses of the entry
// hosts. Call it before the first packet is sent.
func (c *Callers) SetEntries(entryAddrs func() []netip.AddrPort) { c.entryAddrs = entryAddrs }

// Close closes the socket of the callers.
func (c *Callers) Close() { _ = c.conn.Close() }

// Address returns the UDP address that receives answers to the callers.
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

// SendData sends data on every open flow whose last packet has been answered.
func (c *Callers) SendData() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.open && !f.broken && !f.waiting {
			c.send(f)
		}
	}
}

// Resend sends packets again that have not been answered within resendAfter. A
// flow whose packet has not been answered within answerTimeout is broken.
func (c *Callers) Resend(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.broken || !f.waiting || now.Sub(f.lastSentAt) < resendAfter {
			continue
		}
		if now.Sub(f.firstSentAt) > answerTimeout {
			f.broken, f.unanswered = true, true
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
		f.firstSentAt = now
	}
	f.waiting, f.lastSentAt = true, now
	entries := c.entryAddrs()
	_, _ = c.conn.WriteToUDPAddrPort(data, entries[c.rand.IntN(len(entries))])
}

// receive handles answers until the socket is closed.
func (c *Callers) receive() {
	buf := make([]byte, 65535)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p flow.Packet
		if flow.Parse(buf[:n], &p) == nil {
			c.handle(&p)
		}
	}
}

func (c *Callers) handle(p *flow.Packet) {
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

// Unanswered returns how many flows broke because a packet was not answered.
func (c *Callers) Unanswered() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.unanswered {
			n++
		}
	}
	return n
}

// Idle reports whether each flow that is not broken has its answer.
func (c *Callers) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		if f.waiting && !f.broken {
			return false
		}
	}
	return true
}

// AwaitAnswers resends unanswered packets until each flow has its answer or is
// broken, or ctx ends.
func (c *Callers) AwaitAnswers(ctx context.Context) error {
	for !c.Idle() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for answers to flows: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
		c.Resend(time.Now())
	}
	return nil
}
