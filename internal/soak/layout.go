package soak

import (
	"fmt"
	"net"
	"net/netip"
)

// layout assigns addresses: each host has its own IP address, and all hosts use
// the same ports, of which base is the first.
type layout struct{ base int }

// Ports of a host, as offsets from the base.
const (
	portPackets = iota
	portReady
	portAPI
	portMetrics
	portFeed
	portLog // port of the replicated log; must be the next after portFeed
	portCount
)

const hostCount = controlHosts + spareControlHosts + entryHosts

// findLayout returns a layout whose ports are free on the addresses of all hosts.
func findLayout() (layout, error) {
	const tries = 50
	for range tries {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return layout{}, fmt.Errorf("find free ports: %w", err)
		}
		l := layout{probe.Addr().(*net.TCPAddr).Port}
		_ = probe.Close()
		if l.isFree() {
			return l, nil
		}
	}
	return layout{}, fmt.Errorf("find free ports: none of the %d ranges tried is free", tries)
}

func (l layout) isFree() bool {
	if l.base+portCount > 65535 {
		return false
	}
	for host := range hostCount {
		for port := range portCount {
			listener, err := net.Listen("tcp", l.addr(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (l layout) ip(host int) string { return fmt.Sprintf("127.0.1.%d", host+1) }

func (l layout) addr(host, port int) string { return fmt.Sprintf("%s:%d", l.ip(host), l.base+port) }

// proxyAddr returns the address of the proxy through which one host reaches a
// port of another host.
func (l layout) proxyAddr(from, to, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 100+from, to+1, l.base+port)
}

// callerAddr returns the address at which a caller receives answers. Its port
// equals the packet port of the entry hosts, because they send resets there.
func (l layout) callerAddr(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.2.%d:%d", n+1, l.base+portPackets))
}

// serviceAddr returns the address of a service, which callers send packets to.
func (l layout) serviceAddr(service int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:443", service+1))
}

// zoneCount is the number of availability zones. Each has a control host, an entry host
// and a backend server of each service.
const zoneCount = controlHosts

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

var services = []string{"orders", "photos"}
