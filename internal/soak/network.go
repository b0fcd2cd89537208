package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a link does with what is sent over it.
type mode int32

const (
	passing mode = iota
	delayed      // each piece waits
	silent       // connections stay open and carry nothing; new ones hang
	oneWay       // only what the dialling host gets is lost
	refused      // connections are reset, new ones too
)

var modeNames = [...]string{"passing", "delayed", "silent", "one way", "refused"}

const (
	pieceDelay = 150 * time.Millisecond
	pieceBytes = 16 << 10
)

// network is the proxies between the hosts: one for each ordered pair and port.
type network struct {
	links map[[2]int]*link // from, to
}

// link is the way from one host to another.
type link struct {
	mode      atomic.Int32
	listeners []net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
}

func newNetwork(l layout) (*network, error) {
	n := &network{links: map[[2]int]*link{}}
	for from := range allHosts {
		for to := range controlHosts + spareControls {
			if from == to {
				continue
			}
			k := &link{conns: map[net.Conn]struct{}{}}
			n.links[[2]int{from, to}] = k
			for _, port := range []int{portFeed, portLog} {
				if err := k.listen(l.proxy(from, to, port), l.addr(to, port)); err != nil {
					n.close()
					return nil, err
				}
			}
		}
	}
	return n, nil
}

func (k *link) listen(at, to string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	k.listeners = append(k.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.carry(conn, to)
		}
	}()
	return nil
}

// carry connects a host that dials with the one it wants.
func (k *link) carry(in net.Conn, to string) {
	defer in.Close()
	if k.is(refused) {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		reset(in)
		return
	}
	defer out.Close()
	k.track(in, true)
	defer k.track(in, false)
	ended := make(chan struct{}, 2)
	go func() { k.copy(out, in, false); ended <- struct{}{} }()
	go func() { k.copy(in, out, true); ended <- struct{}{} }()
	<-ended
}

func (k *link) is(m mode) bool { return mode(k.mode.Load()) == m }

func (k *link) track(c net.Conn, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on {
		k.conns[c] = struct{}{}
		return
	}
	delete(k.conns, c)
}

// copy carries one direction. What was lost once never comes, so a connection
// stays useless after a silence.
func (k *link) copy(to io.Writer, from io.Reader, back bool) {
	buf := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || k.is(silent) || back && k.is(oneWay)
		if k.is(delayed) {
			time.Sleep(pieceDelay)
		}
		if n > 0 && !lost {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// set puts a mode in force. Resets end the open connections.
func (k *link) set(m mode) {
	k.mode.Store(int32(m))
	if m != refused {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// reset closes a connection so that its other end gets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// around sets the links between a host and all others, in both directions.
func (n *network) around(host int, m mode) {
	for pair, k := range n.links {
		if pair[0] == host || pair[1] == host {
			k.set(m)
		}
	}
}

func (n *network) heal() {
	for _, k := range n.links {
		k.set(passing)
	}
}

func (n *network) close() {
	for _, k := range n.links {
		for _, l := range k.listeners {
			_ = l.Close()
		}
		k.set(refused)
	}
}
