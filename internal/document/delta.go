package document

import (
	"net/netip"
	"slices"
)

// Delta holds the differences between two versions of a document, as followers
// need them. With hundreds of routes it is much smaller than the document.
type Delta struct {
	From    uint64           // version to which it applies
	Version uint64           // version that results
	Removed []netip.AddrPort // addresses of the routes that are no longer there
	Changed []Route          // routes that are new or changed
	// Services holds the settings of all services if any of them changed, else nil. The
	// list is never nil: a pointer to a nil list would arrive as if nothing had changed.
	Services *[]ServiceSettings `cbor:",omitempty"`
	// IdleTimeout is that of the resulting document, in milliseconds.
	IdleTimeout uint32 `cbor:",omitempty"`
}

// Diff returns the differences between two versions of a document.
func Diff(from, to *Document) *Delta {
	d := &Delta{From: from.Version, Version: to.Version, IdleTimeout: to.IdleTimeout}
	if !slices.Equal(from.ServiceSettings, to.ServiceSettings) {
		settings := append([]ServiceSettings{}, to.ServiceSettings...)
		d.Services = &settings
	}
	old := from.byAddress()
	for _, r := range to.Routes {
		before, ok := old[r.Address]
		if !ok || !before.equal(r) {
			d.Changed = append(d.Changed, r)
		}
		delete(old, r.Address)
	}
	for address := range old {
		d.Removed = append(d.Removed, address)
	}
	slices.SortFunc(d.Removed, netip.AddrPort.Compare)
	return d
}

// Apply returns the document that results from a delta. It returns false if the
// delta is for another version.
func (d *Document) Apply(x *Delta) (*Document, bool) {
	if d.Version != x.From {
		return nil, false
	}
	replaced := map[netip.AddrPort]bool{}
	for _, address := range x.Removed {
		replaced[address] = true
	}
	for _, r := range x.Changed {
		replaced[r.Address] = true
	}
	next := &Document{Version: x.Version, ServiceSettings: d.ServiceSettings, IdleTimeout: x.IdleTimeout}
	if x.Services != nil {
		next.ServiceSettings = *x.Services
	}
	for _, r := range d.Routes {
		if !replaced[r.Address] {
			next.Routes = append(next.Routes, r)
		}
	}
	next.Routes = append(next.Routes, x.Changed...)
	return next, true
}

func (r Route) equal(other Route) bool {
	return r.Address == other.Address && slices.Equal(r.Targets, other.Targets) && r.Aim == other.Aim &&
		r.Name == other.Name && r.Timeout == other.Timeout && r.Priority == other.Priority
}

func (d *Document) byAddress() map[netip.AddrPort]Route {
	routes := make(map[netip.AddrPort]Route, len(d.Routes))
	for _, r := range d.Routes {
		routes[r.Address] = r
	}
	return routes
}

// ForFollowers returns the document with only what entry hosts use: the settings of
// services, and the address, targets, target latency, timeout and priority of each
// route.
func (d *Document) ForFollowers() *Document {
	short := &Document{
		Version: d.Version, Routes: make([]Route, len(d.Routes)), ServiceSettings: d.ServiceSettings, IdleTimeout: d.IdleTimeout,
	}
	for i, r := range d.Routes {
		short.Routes[i] = Route{Address: r.Address, Targets: r.Targets, Aim: r.Aim, Timeout: r.Timeout, Priority: r.Priority}
	}
	return short
}
