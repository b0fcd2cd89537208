package main

import (
	"net"
	"sync"
)

// link carries the connections that one host opens to another one. While it is cut,
// nothing passes: open connections and new ones stay open and silent, and bytes that are
// held up go on when the cut heals.
type link struct {
	mu     sync.Mutex
	healed chan struct{} // closed unless the link is cut
}

func (l *lab) addLink(from, to int) error {
	k := &link{healed: make(chan struct{})}
	close(k.healed)
	l.links[[2]int{from, to}] = k
	for _, port := range []int{portFeed, portLog} {
		listener, err := net.Listen("tcp", l.proxyAddr(from, to, port))
		if err != nil {
			return err
		}
		go k.accept(listener, l.addr(to, port))
	}
	return nil
}

func (k *link) cut(isCut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if isCut {
		k.healed = make(chan struct{})
		return
	}
	close(k.healed)
}

// wait returns once the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) accept(listener net.Listener, to string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go k.forward(conn, to)
	}
}

func (k *link) forward(in net.Conn, to string) {
	defer in.Close()
	k.wait()
	out, err := net.Dial("tcp", to)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	defer out.Close()
	ended := make(chan struct{}, 2)
	go func() { k.copy(out, in); ended <- struct{}{} }()
	go func() { k.copy(in, out); ended <- struct{}{} }()
	<-ended
}

func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		k.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cutOff cuts a host off from all others, or heals that cut.
func (l *lab) cutOff(host int, isCut bool) {
	for ends, k := range l.links {
		if ends[0] == host || ends[1] == host {
			k.cut(isCut)
		}
	}
}
