package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"greengagequay/platform/standin"
)

// Intervals and limits of a caller.
const (
	resendInterval  = 200 * time.Millisecond // time after which a packet without an answer is sent again
	openTries       = 3                      // SYN packets of one flow
	requestTries    = 8                      // packets of one request
	requestInterval = 50 * time.Millisecond  // pause between two requests, and between two flows
	flowRequests    = 40                     // maximum number of requests of one flow
	idleShare       = 8                      // one request in this many is followed by an idle time
	longestIdle     = 4 * time.Second
)

// caller opens flows from one address.
type caller struct {
	soak    *soak
	addr    netip.AddrPort
	conn    *net.UDPConn
	mu      sync.Mutex
	port    uint16                         // source port of the last flow
	inboxes map[uint16]chan standin.Packet // answers to the open flows, by source port
}

func (s *soak) newCaller(n int) (*caller, error) {
	addr := s.layout.callerAddr(n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("start caller: %w", err)
	}
	c := &caller{soak: s, addr: addr, conn: conn, port: 1024, inboxes: map[uint16]chan standin.Packet{}}
	s.tasks.Go(c.receive)
	s.tasks.Go(func() {
		<-s.ctx.Done()
		_ = conn.Close()
	})
	return c, nil
}

// receive passes each answer to its flow until the socket is closed.
func (c *caller) receive() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return // the socket is closed
		}
		p, err := standin.Decode(buf[:n])
		if err != nil {
			c.soak.checks.addViolation("packet to a caller: %v", err)
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		c.mu.Lock()
		inbox := c.inboxes[p.To.Port()]
		c.mu.Unlock()
		select {
		case inbox <- p:
		default: // the flow has ended, or its inbox is full
		}
	}
}

// runFlows runs flows of up to a number of requests one after the other.
func (c *caller) runFlows(requests int) {
	rng := rand.New(rand.NewPCG(c.soak.Seed, rand.Uint64()))
	for c.soak.sleep(requestInterval) {
		c.mu.Lock()
		c.port++
		if c.port < 1024 {
			c.port = 1024
		}
		f := &callerFlow{
			caller: c, rng: rng, service: rng.IntN(len(services)), inbox: make(chan standin.Packet, 16),
			from: netip.AddrPortFrom(c.addr.Addr(), c.port),
		}
		c.inboxes[f.from.Port()] = f.inbox
		c.mu.Unlock()
		f.run(requests)
		c.soak.checks.flowEnded(flowKey{f.from, f.to()})
		c.mu.Lock()
		delete(c.inboxes, f.from.Port())
		c.mu.Unlock()
	}
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	caller        *caller
	rng           *rand.Rand
	service       int
	from          netip.AddrPort
	inbox         chan standin.Packet
	token         uint32
	backendNumber uint32 // low 32 bits of the backend server's number
	entry         *process
	sent          uint32 // sequence number after the data sent
	received      uint32 // sequence number after the data received
}

func (f *callerFlow) to() netip.AddrPort { return f.caller.soak.layout.serviceAddr(f.service) }

func (f *callerFlow) run(requests int) {
	if !f.open() {
		return
	}
	for range 1 + f.rng.IntN(requests) {
		if !f.request() {
			return
		}
		pause := requestInterval
		if requests > 1 && f.rng.IntN(idleShare) == 0 {
			pause = time.Duration(f.rng.Int64N(int64(longestIdle)))
		}
		if !f.idle(pause) {
			return
		}
	}
	f.send(standin.Packet{Token: f.token, Sequence: f.sent, Ack: f.received, Flags: standin.ACK | standin.FIN})
}

// idle keeps the flow open without a request. It returns false if the flow is reset
// meanwhile or the run ends.
func (f *callerFlow) idle(d time.Duration) bool {
	p, ok := f.awaitFor(d, func(p standin.Packet) bool { return p.Flags&standin.RST != 0 })
	if ok {
		f.checkReset(p)
	}
	return !ok && f.caller.soak.ctx.Err() == nil
}

// send sends a packet to the same entry host as before while that host is ready,
// and otherwise to a random one.
func (f *callerFlow) send(p standin.Packet) {
	p.From, p.To = f.from, f.to()
	p.Sum = sum(p)
	if f.entry == nil || !f.caller.soak.ready(f.entry) {
		f.entry = f.caller.soak.pickEntry(f.rng)
	}
	to := netip.MustParseAddrPort(f.caller.soak.layout.addr(f.entry.number, portPackets))
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Encode(), to) // if this fails, the packet is sent again
}

// open opens the flow, and reports whether a backend server accepted it.
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
		f.token, f.backendNumber = p.Token, p.Sequence
		f.caller.soak.checks.flowOpened(flowKey{f.from, f.to()}, f.caller.soak.fleet.find(f.backendNumber), f.entry.name)
		return true
	}
	return false
}

// find returns the backend server with the given low 32 bits of its number, or
// nil if it has been replaced.
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

// request sends a request until it is answered, and reports whether the flow can
// continue.
func (f *callerFlow) request() bool {
	data := fmt.Appendf(nil, "X-Request-Id: %v-%d\r\n", f.from, f.sent)
	for range requestTries {
		f.send(standin.Packet{Token: f.token, Sequence: f.sent, Ack: f.received, Flags: standin.ACK, Data: data})
		p, ok := f.await(func(p standin.Packet) bool {
			return p.Flags&standin.RST != 0 || p.Ack == f.sent && p.Flags == standin.ACK && len(p.Data) > 0
		})
		switch {
		case !ok:
			continue
		case p.Flags&standin.RST != 0:
			f.checkReset(p)
			return false
		}
		failed := bytes.Equal(p.Data, answerTo(data, true))
		if !failed && !bytes.Equal(p.Data, answerTo(data, false)) {
			f.caller.soak.checks.addViolation("request %q got the answer %q", data, p.Data)
		}
		f.caller.soak.checks.requestAnswered(failed)
		f.sent += uint32(len(data))
		f.received += uint32(len(p.Data))
		f.send(standin.Packet{Token: f.token, Sequence: f.sent, Ack: f.received, Flags: standin.ACK})
		return true
	}
	f.caller.soak.checks.requestLost()
	return false
}

// checkReset checks a reset of an open flow. A reset by a backend server has a
// checksum, one by an entry host has none.
func (f *callerFlow) checkReset(p standin.Packet) {
	if p.Sum == 0 {
		f.caller.soak.checks.flowReset()
	}
	owner := f.caller.soak.checks.owner(flowKey{f.from, f.to()})
	if p.Sum == 0 && owner != nil && owner.healthy() {
		f.caller.soak.checks.addViolation("the flow of %v was reset by an entry host although its backend %s is healthy", f.from, owner.id)
	}
}

// await returns the next answer for which wanted returns true. It fails if none
// arrives within resendInterval, or if the run ends.
func (f *callerFlow) await(wanted func(standin.Packet) bool) (standin.Packet, bool) {
	return f.awaitFor(resendInterval, wanted)
}

func (f *callerFlow) awaitFor(d time.Duration, wanted func(standin.Packet) bool) (standin.Packet, bool) {
	timeout := time.After(d)
	for {
		select {
		case p := <-f.inbox:
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

// pickEntry returns a random entry host of those that are ready, or of all if
// none is ready.
func (s *soak) pickEntry(rng *rand.Rand) *process {
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

// ready reports whether an entry host was ready for packets when it was last
// polled.
func (s *soak) ready(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// readyPollInterval is the time between two readiness checks of an entry host,
// and the timeout of each.
const readyPollInterval = 500 * time.Millisecond

// pollReady polls the readiness check of an entry host until the run ends.
func (p *process) pollReady() {
	client := &http.Client{Timeout: readyPollInterval}
	for p.soak.sleep(readyPollInterval) {
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
