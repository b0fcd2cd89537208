// Package daemon implements the commands of quayd. For "quayd run" it assembles
// the parts of a host: it binds the sockets, starts the parts in order and stops
// them gracefully. For "quayd host" it runs a host of package fleet.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"

	"greengagequay/internal/config"
)

// Bound is a process whose sockets are bound but which does not run yet. Its
// configuration names the ports that were chosen for ":0".
type Bound struct {
	Config   config.Config
	rpc      net.Listener
	api      net.Listener
	requests net.Listener
	streams  map[string]net.Listener
	packets  *net.UDPConn
	relay    *net.UDPConn
	gossip   *net.UDPConn
	closers  []io.Closer
}

// Bind binds all sockets that the configuration names.
func Bind(c config.Config) (*Bound, error) {
	b := &Bound{Config: c, streams: map[string]net.Listener{}}
	errs := []error{
		b.bindTCP("rpc", &b.Config.RPC, &b.rpc),
		b.bindTCP("api", &b.Config.API, &b.api),
		b.bindTCP("requests", &b.Config.Requests, &b.requests),
		b.bindUDP("packets", &b.Config.Packets, &b.packets),
		b.bindUDP("relay", &b.Config.Relay, &b.relay),
		b.bindUDP("gossip", &b.Config.Gossip, &b.gossip),
		b.bindStreams(),
	}
	if err := errors.Join(errs...); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bound) bindStreams() error {
	listeners := map[string]string{}
	for service, addr := range b.Config.Listeners {
		var l net.Listener
		if err := b.bindTCP("listeners."+service, &addr, &l); err != nil {
			return err
		}
		listeners[service] = addr
		b.streams[service] = l
	}
	b.Config.Listeners = listeners
	return nil
}

func (b *Bound) bindTCP(field string, addr *string, into *net.Listener) error {
	if *addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", *addr)
	if err != nil {
		return fmt.Errorf("bind %s: %w", field, err)
	}
	*addr, *into = l.Addr().String(), l
	b.closers = append(b.closers, l)
	return nil
}

func (b *Bound) bindUDP(field string, addr *string, into **net.UDPConn) error {
	if *addr == "" {
		return nil
	}
	a, err := net.ResolveUDPAddr("udp", *addr)
	if err != nil {
		return fmt.Errorf("bind %s: %w", field, err)
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return fmt.Errorf("bind %s: %w", field, err)
	}
	*addr, *into = conn.LocalAddr().String(), conn
	b.closers = append(b.closers, conn)
	return nil
}

// Close closes all sockets.
func (b *Bound) Close() {
	for _, c := range b.closers {
		_ = c.Close()
	}
}
