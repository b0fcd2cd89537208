package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"greengagequay/platform/standin"
)

// Times of a caller.
const (
	repeatAfter  = 200 * time.Millisecond // a packet without an answer
	openTries    = 3                      // opening packets of one flow
	requestTries = 8
	requestPause = 50 * time.Millisecond
	flowRequests = 40 // at most, on one flow
)

// caller opens flows from one address.
type caller struct {
	soak  *soak
	addr  netip.AddrPort
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	boxes map[uint16]chan standin.Packet // answers, by port of the flow
}

func (s *soak) newCaller(n int) (*caller, error) {
	addr := s.layout.caller(n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("start a caller: %w", err)
	}
	c := &caller{soak: s, addr: addr, conn: conn, port: 1024, boxes: map[uint16]chan standin.Packet{}}
	s.done.Go(c.receive)
	s.done.Go(func() {
		<-s.ctx.Done()
		_ = conn.Close()
	})
	return c, nil
}

// receive hands answers to their flows.
func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return // the run is over
		}
		p, err := standin.Decode(buf[:n])
		if err != nil {
			c.soak.checks.violate("caller: %v", err)
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		c.mu.Lock()
		box := c.boxes[p.To.Port()]
		c.mu.Unlock()
		select {
		case box <- p:
		default: // nobody waits for it any more
		}
	}
}

// flows opens flows one after the other.
func (c *caller) flows() {
	rng := rand.New(rand.NewPCG(c.soak.Seed, rand.Uint64()))
	for c.soak.pause(requestPause) {
		c.mu.Lock()
		c.port++
		if c.port < 1024 {
			c.port = 1024
		}
		f := &callerFlow{
			caller: c, rng: rng, service: rng.IntN(len(services)), box: make(chan standin.Packet, 16),
			from: netip.AddrPortFrom(c.addr.Addr(), c.port),
		}
		c.boxes[f.from.Port()] = f.box
		c.mu.Unlock()
		f.run()
		c.soak.checks.flowEnded(flowKey{f.from, f.to()})
		c.mu.Lock()
		delete(c.boxes, f.from.Port())
		c.mu.Unlock()
	}
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	caller  *caller
	rng     *rand.Rand
	service int
	from    netip.AddrPort
	box     chan standin.Packet
	token   uint32
	number  uint32 // of the backend server
	entry   *process
}

func (f *callerFlow) to() netip.AddrPort { return f.caller.soak.layout.route(f.service) }

func (f *callerFlow) run() {
	if !f.open() {
		return
	}
	for n := range 1 + f.rng.IntN(flowRequests) {
		if !f.request(uint32(n + 1)) {
			return
		}
		if !f.caller.soak.pause(requestPause) {
			return
		}
	}
}

// send sends a packet to an entry host: the same as before while that is ready.
func (f *callerFlow) send(p standin.Packet) {
	p.From, p.To = f.from, f.to()
	p.Sum = sum(p)
	if f.entry == nil || !f.caller.soak.ready(f.entry) {
		f.entry = f.caller.soak.router(f.rng)
	}
	to := netip.MustParseAddrPort(f.caller.soak.layout.addr(f.entry.number, portPackets))
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Encode(), to) // it is sent again
}

// open opens the flow.
func (f *callerFlow) open() bool {
	for try := range openTries {
		f.send(standin.Packet{Ack: uint32(try), Flags: standin.SYN})
		p, ok := f.await(func(p standin.Packet) bool { return p.Flags == standin.SYN|standin.ACK || p.Flags&standin.RST != 0 })
		if !ok {
			continue
		}
		if p.Flags&standin.RST != 0 {
			return false
		}
		f.token, f.number = p.Token, p.Sequence
		f.caller.soak.checks.flowOpened(flowKey{f.from, f.to()}, f.caller.soak.fleet.find(f.number), f.entry.name)
		return true
	}
	return false
}

func (f *backends) find(number uint32) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.alive {
		if uint32(b.number) == number {
			return b
		}
	}
	return nil
}

// request sends a request until it is answered. It reports whether the flow can
// go on.
func (f *callerFlow) request(n uint32) bool {
	data := fmt.Sprintf("X-Request-Id: %v-%d\r\n", f.from, n)
	for range requestTries {
		f.send(standin.Packet{Token: f.token, Sequence: n, Flags: standin.ACK, Data: []byte(data)})
		p, ok := f.await(func(p standin.Packet) bool { return p.Flags&standin.RST != 0 || p.Ack == n && p.Flags == standin.ACK })
		switch {
		case !ok:
			continue
		case p.Flags&standin.RST != 0:
			f.checkReset(p)
			return false
		case string(p.Data) != data:
			f.caller.soak.checks.violate("request %q got the answer %q", data, p.Data)
		}
		f.caller.soak.checks.request(true)
		return true
	}
	f.caller.soak.checks.request(false)
	return false
}

// checkReset checks a reset of an open flow. One of the backend server has a
// sum, one of the system has none.
func (f *callerFlow) checkReset(p standin.Packet) {
	owner := f.caller.soak.checks.owner(flowKey{f.from, f.to()})
	if p.Sum == 0 && owner != nil && owner.healthy() {
		f.caller.soak.checks.violate("the flow of %v was reset, though its backend %s lives", f.from, owner.id)
	}
}

// await waits for an answer.
func (f *callerFlow) await(wanted func(standin.Packet) bool) (standin.Packet, bool) {
	timeout := time.After(repeatAfter)
	for {
		select {
		case p := <-f.box:
			if wanted(p) {
				return p, true
			}
		case <-timeout:
			return standin.Packet{}, false
		case <-f.caller.soak.ctx.Done():
			return standin.Packet{}, false
		}
	}
}

// router returns an entry host in rotation, any one if there is none.
func (s *soak) router(rng *rand.Rand) *process {
	var ready []*process
	for _, e := range s.entries {
		if s.ready(e) {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		ready = s.entries
	}
	return ready[rng.IntN(len(ready))]
}

// ready reports whether an entry host says that it takes packets. The answer is
// asked for twice a second.
func (s *soak) ready(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

const readyPause = 500 * time.Millisecond

// watch asks an entry host whether it is ready.
func (p *process) watch() {
	client := &http.Client{Timeout: readyPause}
	for p.soak.pause(readyPause) {
		resp, err := client.Get("http://" + p.soak.layout.addr(p.number, portReady) + standin.ReadyPath)
		ready := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		p.mu.Lock()
		p.ready = ready
		p.mu.Unlock()
	}
}
