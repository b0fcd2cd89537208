package registry

import (
	"fmt"
	"net/netip"
	"slices"

	"greengagequay/internal/fault"
	"greengagequay/internal/model"
)

// check refuses announcements that are malformed or belong to another zone. It
// also refuses an unknown service, unless the backend server is already known with
// this service.
func (r *Registry) check(b model.Backend) error {
	switch {
	case !b.State.Valid():
		return fault.New(fault.Invalid, "use starting, ready, draining or gone", "backend server %q: state %q does not exist", b.ID, b.State)
	case b.ID == "" || len(b.ID) > maxNameBytes || len(b.Service) > maxNameBytes || len(b.Zone) > maxNameBytes:
		return fault.New(fault.Invalid, "use names of 1 to 64 bytes", "backend server %q has an ID, service or zone whose length is out of range", b.ID)
	case len(endpoints(b)) == 0:
		return fault.New(fault.Invalid, "set packetAddress, requestAddress or streamAddress", "backend server %q announces no address", b.ID)
	case b.Zone != r.Zone:
		return fault.New(fault.Invalid, "announce to an entry host of zone "+b.Zone, "backend server %q is in zone %q, but host %s is in zone %q", b.ID, b.Zone, r.Host, r.Zone)
	}
	known := r.byID[b.ID]
	if !r.Served(b.Service) && (known == nil || known.backend.Service != b.Service) {
		return fault.New(fault.NotFound, "create the service with 'quayctl settings set' and announce again", "service %q does not exist", b.Service)
	}
	return nil
}

// checkIdentity refuses the announcement of an older process of the backend
// server, and of another process with the same ID and incarnation.
func (r *Registry) checkIdentity(old *announcement, b model.Backend) error {
	if old == nil || old.backend.Incarnation < b.Incarnation {
		return nil
	}
	previous := old.backend
	if previous.Incarnation > b.Incarnation {
		return fault.New(fault.Conflict, "stop the older process", "backend server %q: incarnation %d is older than %d", b.ID, b.Incarnation, previous.Incarnation)
	}
	if previous.Service != b.Service || previous.Zone != b.Zone || !slices.Equal(endpoints(previous), endpoints(b)) {
		return fault.New(fault.Conflict, "use a higher incarnation at each start and one name for each backend server", "backend server %q: incarnation %d was announced with another service, zone or address", b.ID, b.Incarnation)
	}
	return nil
}

// checkAddresses returns the IDs of older backend servers whose addresses b
// uses: a process with a higher incarnation at the same address replaces the
// earlier one. It refuses b if its incarnation is not the higher one.
func (r *Registry) checkAddresses(b model.Backend) (replaced []string, err error) {
	for _, e := range endpoints(b) {
		id := r.byEndpoint[e]
		if id == "" || id == b.ID || b.State == model.Gone {
			continue
		}
		if other := r.byID[id].backend; other.Incarnation >= b.Incarnation {
			return nil, fault.New(fault.Conflict, "give each backend server an address of its own", "backend server %q: address %v is in use by %q, whose incarnation is not lower", b.ID, e, id)
		}
		if !slices.Contains(replaced, id) {
			replaced = append(replaced, id)
		}
	}
	return replaced, nil
}

// transport is the protocol of an address. Each has port numbers of its own.
type transport string

const (
	overUDP transport = "UDP"
	overTCP transport = "TCP"
)

// endpoint is an address at which a backend server receives packets, requests or
// connections.
type endpoint struct {
	transport transport
	addr      netip.AddrPort
}

// String returns the address and its protocol.
func (e endpoint) String() string { return fmt.Sprintf("%v over %s", e.addr, e.transport) }

// endpoints returns the announced addresses of a backend server.
func endpoints(b model.Backend) []endpoint {
	var list []endpoint
	for _, e := range []endpoint{{overUDP, b.Packet}, {overTCP, b.Request}, {overTCP, b.Stream}} {
		if e.addr.IsValid() {
			list = append(list, e)
		}
	}
	return list
}
