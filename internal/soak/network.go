package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode determines how a link treats connections and data.
type mode int32

const (
	passing mode = iota
	delayed      // each chunk waits for chunkDelay
	silent       // all data is lost; connections stay open, and new ones are accepted
	oneWay       // data to the host that dialed is lost
	refused      // open and new connections are reset
)

var modeNames = [...]string{"passing", "delayed", "silent", "one way", "refused"}

const (
	chunkDelay = 150 * time.Millisecond
	chunkBytes = 16 << 10
)

// network holds the proxies between the hosts. Every host reaches the feed and
// log ports of each control host through its own link.
type network struct {
	links map[[2]int]*link // by the numbers of the dialing host and the control host
}

// link proxies the connections that one host opens to another.
type link struct {
	mode      atomic.Int32
	changedAt atomic.Int64 // when the mode was last set, in Unix nanoseconds
	listeners []net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
}

func newNetwork(l layout) (*network, error) {
	n := &network{links: map[[2]int]*link{}}
	for from := range hostCount {
		for to := range controlHosts + spareControlHosts {
			if from == to {
				continue
			}
			k := &link{conns: map[net.Conn]struct{}{}}
			n.links[[2]int{from, to}] = k
			for _, port := range []int{portFeed, portLog} {
				if err := k.listen(l.proxyAddr(from, to, port), l.addr(to, port)); err != nil {
					n.close()
					return nil, err
				}
			}
		}
	}
	return n, nil
}

func (k *link) listen(addr, to string) error {
	listener, err := net.Listen("tcp", addr)
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
			go k.forward(conn, to)
		}
	}()
	return nil
}

// forward connects an accepted connection with the address to, and copies data
// in both directions until one of them ends.
func (k *link) forward(in net.Conn, to string) {
	defer in.Close()
	if k.hasMode(refused) {
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
	go func() { k.forwardOneWay(out, in, false); ended <- struct{}{} }()
	go func() { k.forwardOneWay(in, out, true); ended <- struct{}{} }()
	<-ended
}

func (k *link) hasMode(m mode) bool { return mode(k.mode.Load()) == m }

func (k *link) track(c net.Conn, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if open {
		k.conns[c] = struct{}{}
		return
	}
	delete(k.conns, c)
}

// forwardOneWay copies one direction of a connection, where toDialer means
// towards the host that dialed. Once a chunk is lost, all later ones are lost
// too, because a stream cannot continue after a gap.
func (k *link) forwardOneWay(to io.Writer, from io.Reader, toDialer bool) {
	buf := make([]byte, chunkBytes)
	lost := false
	for {
		n, err := from.Read(buf)
		lost = lost || k.hasMode(silent) || toDialer && k.hasMode(oneWay)
		if k.hasMode(delayed) {
			time.Sleep(chunkDelay)
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

// set changes the mode. The mode refused also resets the open connections.
func (k *link) set(m mode) {
	if k.mode.Swap(int32(m)) != int32(m) {
		k.changedAt.Store(time.Now().UnixNano())
	}
	if m != refused {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer receives a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// setHostMode sets the mode of all links from a host and to it.
func (n *network) setHostMode(host int, m mode) {
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
