package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// link is the link of one machine to all control hosts. While it is cut, the bytes of
// open connections are held up, and no new connections open.
type link struct {
	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed when the cut ends
}

// client returns an HTTP client whose connections go through the link.
func (k *link) client() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: k.dial, MaxIdleConnsPerHost: 1}}
}

// setCut cuts or heals the link.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut && !k.cut {
		k.healed = make(chan struct{})
	}
	if !cut && k.cut {
		close(k.healed)
	}
	k.cut = cut
}

// wait waits while the link is cut, or until ctx is done.
func (k *link) wait(ctx context.Context) error {
	k.mu.Lock()
	cut, healed := k.cut, k.healed
	k.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-healed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dial connects to a control host. The connection passes a proxy that holds up its bytes
// during a cut. What was written before its sender closed it is delivered after the cut.
func (k *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if err := k.wait(ctx); err != nil {
		return nil, err
	}
	var d net.Dialer
	server, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	near, far, err := pair()
	if err != nil {
		_ = server.Close()
		return nil, err
	}
	go k.copy(server, far)
	go k.copy(far, server)
	return near, nil
}

// copy passes bytes on until the source ends.
func (k *link) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		_ = k.wait(context.Background()) // it has no deadline and so no error
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, from) // nothing, unless the write failed
}

// pair returns the two ends of a connection on a loopback address.
func pair() (near, far net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	if far, err = l.Accept(); err != nil {
		_ = near.Close()
		return nil, nil, err
	}
	return near, far, nil
}
