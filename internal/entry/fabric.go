// Package entry implements the data path of an entry host: it passes callers'
// packets, plain TCP connections and HTTP requests to backend servers.
package entry

import (
	"net"
	"net/netip"
)

// Fabric is a link that carries IP packets encapsulated in UDP. An entry host has
// two. One receives callers' packets from the network that spreads them over the
// entry hosts, and sends them to backend servers. The other connects the entry
// hosts.
type Fabric interface {
	// Read waits for a packet and returns its length and the sender's address.
	Read(buf []byte) (n int, from netip.AddrPort, err error)
	// Send sends a packet to an encapsulation address.
	Send(to netip.AddrPort, packet []byte) error
	// Close closes the fabric. A pending Read returns an error.
	Close() error
}

// udpFabric is a Fabric on a UDP socket.
type udpFabric struct{ conn *net.UDPConn }

// NewUDPFabric returns a Fabric on the socket.
func NewUDPFabric(conn *net.UDPConn) Fabric { return udpFabric{conn: conn} }

func (f udpFabric) Read(buf []byte) (int, netip.AddrPort, error) {
	return f.conn.ReadFromUDPAddrPort(buf)
}

func (f udpFabric) Send(to netip.AddrPort, packet []byte) error {
	_, err := f.conn.WriteToUDPAddrPort(packet, to)
	return err
}

func (f udpFabric) Close() error { return f.conn.Close() }
