package main

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"greengagequay/platform/standin"
)

// caller is a stand-in for a client machine with one address.
type caller struct {
	lab  *lab
	ip   string
	conn *net.UDPConn
	port uint16 // of the last flow
}

func (l *lab) newCaller(ip string) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.addr(ip, portPackets))))
	if err != nil {
		return nil, err
	}
	return &caller{lab: l, ip: ip, conn: conn, port: 40000}, nil
}

// flow is a flow as its client sees it.
type flow struct {
	caller *caller
	via    *machine // entry machine that gets its packets
	key    flowEnds
	token  uint32
	seq    uint32 // next byte that the client sends
	ack    uint32 // next byte that it expects
	reset  *standin.Packet
	count  int
}

// outcome is what became of an opening or a request.
type outcome string

const (
	answered   outcome = "answered"
	reset      outcome = "reset"
	unanswered outcome = "unanswered"
)

// open opens a flow as PROTOCOL.md says: an opening packet, and copies after 200 ms and
// 600 ms.
func (c *caller) open(via *machine, route netip.AddrPort) (*flow, outcome) {
	c.port++
	f := &flow{caller: c, via: via, key: flowEnds{netip.AddrPortFrom(netip.MustParseAddr(c.ip), c.port), route}, seq: uint32(c.port) * 1000}
	began := time.Now()
	for copy, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(standin.Packet{Flags: standin.SYN, Sequence: f.seq, Ack: uint32(copy)})
		p, got := f.receive(began.Add(after))
		switch {
		case !got:
			continue
		case p.Flags&standin.RST != 0:
			return f, reset
		}
		f.seq, f.ack, f.token = f.seq+1, p.Sequence+1, p.Token
		f.send(standin.Packet{Flags: standin.ACK, Sequence: f.seq, Ack: f.ack, Token: f.token})
		return f, answered
	}
	return f, unanswered
}

// request sends a request on an open flow and returns the answer. It retransmits after
// 200 ms, 600 ms and 1400 ms.
func (f *flow) request() (outcome, string) {
	f.count++
	id := fmt.Sprintf("%s-%d-%d", f.caller.ip, f.key.client.Port(), f.count)
	data := []byte("GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n\r\n")
	began := time.Now()
	for _, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 2500 * time.Millisecond} {
		f.send(standin.Packet{Flags: standin.ACK, Sequence: f.seq, Ack: f.ack, Token: f.token, Data: data})
		for {
			p, got := f.receive(began.Add(after))
			if !got {
				break
			}
			if p.Flags&standin.RST != 0 {
				f.reset = &p
				return reset, id
			}
			if len(p.Data) == 0 || p.Sequence != f.ack {
				continue
			}
			f.token = p.Token
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.Data))
			f.send(standin.Packet{Flags: standin.ACK, Sequence: f.seq, Ack: f.ack, Token: f.token})
			return answered, string(p.Data)
		}
	}
	return unanswered, id
}

func (f *flow) send(p standin.Packet) {
	p.From, p.To, p.Sum = f.key.client, f.key.route, 1
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Encode(), netip.MustParseAddrPort(f.caller.lab.addr(f.via.ip, portPackets)))
}

// receive returns the next packet of the flow that arrives before a time.
func (f *flow) receive(until time.Time) (standin.Packet, bool) {
	buf := make([]byte, 2048)
	for {
		_ = f.caller.conn.SetReadDeadline(until)
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return standin.Packet{}, false
		}
		p, err := standin.Decode(append([]byte(nil), buf[:n]...))
		if err == nil && p.From == f.key.route && p.To == f.key.client {
			return p, true
		}
	}
}
