package soak

import (
	"fmt"
	"net"
	"net/netip"
)

// layout gives addresses: each host has an IP address of its own, and all use
// the same ports.
type layout struct{ base int }

// Ports, counted from the base.
const (
	portPackets = iota
	portReady
	portAPI
	portMetrics
	portFeed // the log's port follows
	portLog
	portsUsed
)

const allHosts = controlHosts + spareControls + entryHosts

// findLayout finds a base from which the ports are free on all addresses.
func findLayout() (layout, error) {
	const tries = 50
	for range tries {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return layout{}, fmt.Errorf("find free ports: %w", err)
		}
		l := layout{probe.Addr().(*net.TCPAddr).Port}
		_ = probe.Close()
		if l.free() {
			return l, nil
		}
	}
	return layout{}, fmt.Errorf("find free ports: none of %d ranges is free", tries)
}

func (l layout) free() bool {
	if l.base+portsUsed > 65535 {
		return false
	}
	for host := range allHosts {
		for port := range portsUsed {
			listener, err := net.Listen("tcp", l.addr(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// ip returns the address of a host.
func (l layout) ip(host int) string { return fmt.Sprintf("127.0.1.%d", host+1) }

func (l layout) addr(host, port int) string { return fmt.Sprintf("%s:%d", l.ip(host), l.base+port) }

// proxy returns the address at which one host reaches another.
func (l layout) proxy(from, to, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 100+from, to+1, l.base+port)
}

// caller returns the address at which a caller takes answers. Resets of entry
// hosts come to the port at which those take packets.
func (l layout) caller(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.2.%d:%d", n+1, l.base+portPackets))
}

// route returns the address of a service.
func (l layout) route(service int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:443", service+1))
}

var services = []string{"orders", "photos"}
