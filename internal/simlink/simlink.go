// Package simlink simulates TCP connections over a link of limited rate, for tests
// that run in a bubble of testing/synctest.
package simlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// packetBytes is the data of one packet.
const packetBytes = 1460

// Link is a link that all connections dialed over it share. Only the direction to
// the dialing side is limited.
type Link struct {
	bytesPerSecond float64
	turn           chan struct{} // holds an element while the link is free
}

// New returns a link.
func New(megabitPerSecond float64) *Link {
	l := &Link{bytesPerSecond: megabitPerSecond * 1e6 / 8, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

// Dial connects to a listener over the link.
func (l *Link) Dial(to *Listener) (net.Conn, error) {
	client, clientRelay := net.Pipe()
	serverRelay, server := net.Pipe()
	select {
	case to.accepted <- server:
	case <-to.closed:
		return nil, net.ErrClosed
	}
	go l.relay(clientRelay, serverRelay)
	go func() {
		_, _ = io.Copy(serverRelay, clientRelay) // it ends when a side closes
		closeBoth(clientRelay, serverRelay)
	}()
	return client, nil
}

// relay copies data at the rate of the link until a side closes.
func (l *Link) relay(to, from net.Conn) {
	defer closeBoth(to, from)
	buf := make([]byte, packetBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		<-l.turn
		time.Sleep(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
		l.turn <- struct{}{}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

// Listener accepts connections that are dialed over a link.
type Listener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

// Listen returns a listener.
func Listen() *Listener {
	return &Listener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and later calls of Dial.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address without meaning.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
