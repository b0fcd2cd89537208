// Package entry is the entry host's role: it takes packets, plain connections
// and requests of callers and hands them to backend servers.
package entry

import (
	"net"
	"net/netip"
)

// Fabric is the edge to the network that sprays packets over entry hosts.
// Packets are IP packets carried in UDP.
type Fabric interface {
	// Read waits for a packet and returns its length and who sent it.
	Read(buf []byte) (n int, from netip.AddrPort, err error)
	// Send sends a packet to an encapsulation address.
	Send(to netip.AddrPort, packet []byte) error
	// Close ends Read.
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
