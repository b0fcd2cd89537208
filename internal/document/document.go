// Package document defines the operator's document: routes from addresses to
// services, under a version number that the operator chooses. The document with
// the highest version is in force. The package uses no I/O and no clock.
package document

import (
	"net/netip"

	"greengagequay/internal/fault"
)

// Document is one version of the operator's document.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []string
	// ServiceSettings holds the settings of the services that have any, ordered by
	// name.
	ServiceSettings []ServiceSettings `cbor:",omitempty"`
	IdleTimeout     uint32            // milliseconds after which an idle flow may be dropped
	Source          []byte            // the bytes that the operator sent, returned when the document is read
}

// ServiceSettings holds what a document says about the backend servers of a service.
type ServiceSettings struct {
	Name       string
	Warmup     uint32  `cbor:",omitempty"` // milliseconds after its start for which a backend server is cold
	WarmupRate float64 `cbor:",omitempty"` // new flows a second that a cold backend server takes
	MaxFlows   uint32  `cbor:",omitempty"` // connections that a backend server takes, 0 if that is not known
}

// SettingsOf returns the settings of a service, empty ones if the document has none.
func (d *Document) SettingsOf(service string) ServiceSettings {
	for _, s := range d.ServiceSettings {
		if s.Name == service {
			return s
		}
	}
	return ServiceSettings{Name: service}
}

// Route sends the new flows of one address to services.
type Route struct {
	Name     string
	Address  netip.AddrPort // address to which callers open flows
	Targets  []Target
	Timeout  uint32 // timeout of a request in milliseconds
	Aim      uint32 // target latency of a request in milliseconds, 0 if none is set
	Priority int    // 0 is the highest
}

// Target is a service that gets a share of a route's new flows.
type Target struct {
	Service string
	Weight  uint32 // relative to the other targets of the route
}

const remedy = "correct the document and send it again"

// Check returns an error if the document is invalid.
func (d *Document) Check() error {
	if d.Version == 0 {
		return fault.New(fault.Invalid, remedy, "the document has no version")
	}
	services := map[string]bool{}
	for _, name := range d.Services {
		if name == "" || services[name] {
			return fault.New(fault.Invalid, remedy, "service name %q is empty or listed twice", name)
		}
		services[name] = true
	}
	taken := map[netip.AddrPort]string{}
	for _, r := range d.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		if other, ok := taken[r.Address]; ok {
			return fault.New(fault.Invalid, remedy, "routes %q and %q share the address %v", other, r.Name, r.Address)
		}
		taken[r.Address] = r.Name
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	if !r.Address.IsValid() {
		return fault.New(fault.Invalid, remedy, "route %q has no valid address", r.Name)
	}
	if r.Timeout == 0 {
		return fault.New(fault.Invalid, remedy, "route %q has a timeout of 0", r.Name)
	}
	weights := uint64(0)
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fault.New(fault.Invalid, remedy, "route %q names the unknown service %q", r.Name, t.Service)
		}
		weights += uint64(t.Weight)
	}
	if weights == 0 {
		return fault.New(fault.Invalid, remedy, "route %q has no service with a weight above 0", r.Name)
	}
	return nil
}
