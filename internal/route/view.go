package route

import (
	"encoding/binary"
	"slices"

	"greengagequay/internal/flow"
	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// View is a table as one entry host sees it. It is immutable.
type View struct {
	Table *table.Table
	self  table.HostNum
	// special is set when a record may count for a stable bucket.
	special bool
	// reachable lists the hosts that a cut-off host reaches, itself included,
	// in order. It is nil unless the host is cut off.
	reachable []table.HostNum
	zones     map[string]bool // zones of the reachable hosts
	slots     []serviceSlot   // hash table with linear probing
}

// serviceSlot is an entry of the index of services.
type serviceSlot struct {
	key     endpointKey
	service *table.Service // nil marks a free slot
}

// endpointKey is a table.Endpoint in a form that compares quickly.
type endpointKey struct {
	high, low uint64
	rest      uint64 // port and protocol
}

// NewView returns the view of the entry host called name. The router's records
// from a time when the host was cut off count in it.
func NewView(t *table.Table, name string, r *Router) *View {
	v := &View{Table: t, special: r.kept.any()}
	for _, h := range t.Hosts {
		if h.Name == name {
			v.self = h.Num
		}
	}
	v.indexServices()
	return v
}

// CutOff returns the view of a host whose lease has run out and which reaches
// just the hosts for which reaches is true.
func (v *View) CutOff(reaches func(table.Host) bool) *View {
	c := *v
	c.special = true
	c.reachable = []table.HostNum{v.self}
	c.zones = map[string]bool{v.Table.Hosts[v.self].Zone: true}
	for _, h := range v.Table.Hosts {
		if h.Num != v.self && reaches(h) {
			c.reachable = append(c.reachable, h.Num)
			c.zones[h.Zone] = true
		}
	}
	slices.Sort(c.reachable)
	return &c
}

func (v *View) isCut() bool { return v.reachable != nil }

// Self returns the number of the host, 0 if the table does not name it.
func (v *View) Self() table.HostNum { return v.self }

// Destination returns the backend server, unless it has gone.
func (v *View) Destination(n table.BackendNum) (table.Backend, bool) {
	b, ok := v.Table.Backends[n]
	return b, ok && b.State != model.Gone
}

// delivers reports whether packets of the service may go to a backend server:
// it is known, has not gone and belongs to that service.
func (v *View) delivers(n table.BackendNum, svc *table.Service) bool {
	b, ok := v.Destination(n)
	return ok && b.Service == svc.Name
}

// indexServices fills the index. At most half of its slots are in use.
func (v *View) indexServices() {
	size := 2
	for size < 2*len(v.Table.ByAddress) {
		size *= 2
	}
	v.slots = make([]serviceSlot, size)
	for e, svc := range v.Table.ByAddress {
		key := keyOf(e.Addr.As16(), e.Port, e.Proto)
		i := key.slot(size)
		for v.slots[i].service != nil {
			i = (i + 1) & (size - 1)
		}
		v.slots[i] = serviceSlot{key: key, service: svc}
	}
}

// service returns the service at the packet's destination, or nil.
func (v *View) service(p *flow.Packet) *table.Service {
	key := keyOf(p.Dst.As16(), p.DstPort, p.Proto)
	for i := key.slot(len(v.slots)); ; i = (i + 1) & (len(v.slots) - 1) {
		s := &v.slots[i]
		if s.service == nil || s.key == key {
			return s.service
		}
	}
}

func keyOf(addr [16]byte, port uint16, proto uint8) endpointKey {
	return endpointKey{
		high: binary.BigEndian.Uint64(addr[:8]),
		low:  binary.BigEndian.Uint64(addr[8:]),
		rest: uint64(port)<<8 | uint64(proto),
	}
}

// golden spreads keys that differ in few bits.
const golden = 0x9e3779b97f4a7c15

func (k endpointKey) slot(size int) int {
	h := (k.high ^ k.low ^ k.rest<<40) * golden
	return int(h>>32) & (size - 1)
}
