package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagequay/platform/standin"
)

// backend is a stand-in for a backend.
type backend struct {
	lab               *lab
	id, service, zone string
	address           netip.AddrPort
	number            uint64 // hex digits of the id
	born              int64
	conn              *net.UDPConn
	calls             *http.Client // for its calls to control hosts
	done              chan struct{}

	mu    sync.Mutex
	state string
	seq   uint64
	acked bool // whether the last heartbeat was acknowledged
	next  int  // control host that gets the next heartbeat
	flows map[flowEnds]*served
	runs  int // requests that it has run
}

// flowEnds identifies a flow.
type flowEnds struct{ client, route netip.AddrPort }

// served is a flow at a backend.
type served struct {
	open    bool
	token   uint32
	seq     uint32 // next byte that the backend sends
	ack     uint32 // next byte that it expects
	answers map[uint32]standin.Packet
}

// startBackend starts a backend that announces itself.
func (l *lab) startBackend(id, service, zone, ip string) (*backend, error) {
	return l.startBackendBehind(client, id, service, zone, ip)
}

// startBackendBehind starts a backend whose calls go through a client.
func (l *lab) startBackendBehind(calls *http.Client, id, service, zone, ip string) (*backend, error) {
	address := netip.MustParseAddrPort(l.addr(ip, portBackend))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	if err != nil {
		return nil, err
	}
	b := &backend{
		lab: l, id: id, service: service, zone: zone, address: address, number: number, born: time.Now().UnixMilli(),
		conn: conn, calls: calls, done: make(chan struct{}), state: "ready", flows: map[flowEnds]*served{}, next: indexOf(zone),
	}
	l.note("backend %s of %s starts at %v", id, service, address)
	go b.serve()
	go b.beat()
	return b, nil
}

func indexOf(zone string) int {
	for i, z := range zones {
		if z == zone {
			return i
		}
	}
	return 0
}

// beat sends heartbeats until the backend ends.
func (b *backend) beat() {
	for {
		b.sendHeartbeat()
		select {
		case <-b.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat. If it is not acknowledged, the next node is called.
func (b *backend) sendHeartbeat() {
	for range b.lab.controls {
		b.mu.Lock()
		b.seq++
		body, _ := json.Marshal(heartbeat(b.service, b.address, b.zone, b.state, b.seq, b.born))
		b.mu.Unlock()
		status, _ := b.lab.postBy(b.calls, b.lab.controls[b.next], standin.HeartbeatPath(b.id), body)
		b.mu.Lock()
		b.acked = status/100 == 2
		if !b.acked {
			b.next = (b.next + 1) % len(b.lab.controls)
		}
		acked := b.acked
		b.mu.Unlock()
		if acked {
			return
		}
	}
}

// heartbeat returns the fields of a heartbeat as PROTOCOL.md lists them.
func heartbeat(service string, address netip.AddrPort, zone, state string, seq uint64, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address.String(), "zone": zone, "version": "v1", "slots": 3, "state": state,
		"warmupLeftMs": 0, "seq": seq, "born": born,
	}
}

func (b *backend) isAcked() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked
}

func (b *backend) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// drain makes the backend say that it drains, and waits for the acknowledgement.
func (b *backend) drain() bool {
	b.mu.Lock()
	b.state, b.acked = "draining", false
	b.mu.Unlock()
	b.sendHeartbeat()
	acked := b.isAcked()
	b.lab.note("backend %s, started at %d, says that it is draining: acknowledged %v", b.id, b.born, acked)
	return acked
}

// leave sends the departure, which has no body, to one node after the other until one
// acknowledges it.
func (b *backend) leave() bool {
	for i := range b.lab.controls {
		to := b.lab.controls[(b.next+i)%len(b.lab.controls)]
		status, answer := b.lab.postBy(b.calls, to, standin.LeavePath(b.id), nil)
		b.lab.note("backend %s, started at %d, sends its departure to %s: %d %s", b.id, b.born, to.name, status, answer)
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// stop ends the backend without a word.
func (b *backend) stop() {
	close(b.done)
	_ = b.conn.Close()
}

// serve answers packets until the backend ends.
func (b *backend) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < standin.TargetBytes {
			continue
		}
		if target := binary.BigEndian.Uint64(buf); target != 0 && target != b.number {
			continue // it is not the intended backend
		}
		p, err := standin.Decode(buf[standin.TargetBytes:n])
		if err != nil {
			continue
		}
		for _, answer := range b.receive(p, from) {
			b.send(answer)
		}
	}
}

// receive handles a packet and returns the answers.
func (b *backend) receive(p standin.Packet, from netip.AddrPort) []standin.Packet {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowEnds{p.From, p.To}
	f := b.flows[key]
	reply := standin.Packet{Token: p.Token, From: p.To, To: p.From, Sum: 1, Flags: standin.ACK}
	switch {
	case p.Flags&standin.SYN != 0:
		if f == nil {
			f = &served{seq: uint32(time.Now().UnixNano()), ack: p.Sequence + 1, answers: map[uint32]standin.Packet{}}
			b.flows[key] = f
			b.lab.note("backend %s of %s took the opening packet of the flow %v to %v, sent on by %v", b.id, b.service, p.From, p.To, from.Addr())
		}
		reply.Flags, reply.Sequence, reply.Ack = standin.SYN|standin.ACK, f.seq, f.ack
		return []standin.Packet{reply}
	case f == nil:
		if p.Flags&standin.RST != 0 {
			return nil
		}
		b.lab.note("backend %s got a packet of a flow that it does not hold, %v to %v, and resets it", b.id, p.From, p.To)
		reply.Flags, reply.Sequence = standin.RST, p.Ack
		return []standin.Packet{reply}
	case p.Flags&standin.RST != 0:
		delete(b.flows, key)
		return nil
	}
	if !f.open && p.Ack == f.seq+1 {
		f.open, f.seq = true, f.seq+1
	}
	if !f.open {
		return nil
	}
	if len(p.Data) == 0 {
		return nil
	}
	if answer, ok := f.answers[p.Sequence]; ok {
		answer.Token = p.Token
		return []standin.Packet{answer} // a retransmission
	}
	if p.Sequence != f.ack {
		return nil
	}
	b.runs++
	f.ack += uint32(len(p.Data))
	id := requestID(p.Data)
	body := "ran by " + b.id
	reply.Data = []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s/%s\r\nContent-Length: %d\r\n\r\n%s", b.id, id, len(body), body))
	reply.Sequence, reply.Ack = f.seq, f.ack
	f.seq += uint32(len(reply.Data))
	if b.state == "draining" {
		reply.Flags |= standin.FIN // it closes each flow after its next response
	}
	f.answers[p.Sequence] = reply
	b.lab.note("backend %s of %s ran request %s", b.id, b.service, id)
	return []standin.Packet{reply}
}

// send sends a packet to the client at the port of the system's datagram addresses.
func (b *backend) send(p standin.Packet) {
	to := netip.AddrPortFrom(p.To.Addr(), uint16(b.lab.base+portPackets))
	_, _ = b.conn.WriteToUDPAddrPort(p.Encode(), to)
}

func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}
