package route

import (
	"encoding/binary"
	"net/netip"
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
	healing   bool            // the lease is back, see HealDelay
	slots     []serviceSlot   // hash table with linear probing
	members   []memberSlot    // hash table with linear probing
}

// memberSlot is an entry of the index of backend servers that have not gone.
type memberSlot struct {
	num     table.BackendNum // 0 marks a free slot
	service *table.Service
}

// serviceSlot is an entry of the index of services.
type serviceSlot struct {
	endpoint table.Endpoint
	service  *table.Service // nil marks a free slot
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
	v.indexMembers()
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

// Healing returns a view of a cut-off host whose lease is back.
func (v *View) Healing() *View {
	c := *v
	c.healing = true
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
	for i := memberAt(n, len(v.members)); ; i = (i + 1) & (len(v.members) - 1) {
		s := &v.members[i]
		if s.num == n {
			return n != 0 && s.service == svc
		}
		if s.num == 0 {
			return false
		}
	}
}

// indexMembers fills the index of backend servers that have not gone.
func (v *View) indexMembers() {
	v.members = make([]memberSlot, indexSize(len(v.Table.Backends)))
	for n, b := range v.Table.Backends {
		svc := v.Table.ByName[b.Service]
		if b.State == model.Gone || svc == nil {
			continue
		}
		i := memberAt(n, len(v.members))
		for v.members[i].num != 0 {
			i = (i + 1) & (len(v.members) - 1)
		}
		v.members[i] = memberSlot{num: n, service: svc}
	}
}

func memberAt(n table.BackendNum, size int) int {
	return int(uint64(n)*golden>>32) & (size - 1)
}

// indexSize returns a power of two of which n is at most half.
func indexSize(n int) int {
	size := 2
	for size < 2*n {
		size *= 2
	}
	return size
}

// indexServices fills the index. At most half of its slots are in use.
func (v *View) indexServices() {
	size := indexSize(len(v.Table.ByAddress))
	v.slots = make([]serviceSlot, size)
	for e, svc := range v.Table.ByAddress {
		i := serviceAt(e.Addr, e.Port, size)
		for v.slots[i].service != nil {
			i = (i + 1) & (size - 1)
		}
		v.slots[i] = serviceSlot{endpoint: e, service: svc}
	}
}

// service returns the service at the packet's destination, or nil.
func (v *View) service(p *flow.Packet) *table.Service {
	for i := serviceAt(p.Dst, p.DstPort, len(v.slots)); ; i = (i + 1) & (len(v.slots) - 1) {
		s := &v.slots[i]
		e := &s.endpoint
		if s.service == nil || e.Port == p.DstPort && e.Proto == p.Proto && e.Addr == p.Dst {
			return s.service
		}
	}
}

// golden spreads numbers that differ in few bits.
const golden = 0x9e3779b97f4a7c15

// serviceAt returns the slot at which the search for an address starts.
func serviceAt(addr netip.Addr, port uint16, size int) int {
	var low uint64
	if addr.Is4() {
		b := addr.As4()
		low = uint64(binary.BigEndian.Uint32(b[:]))
	} else {
		b := addr.As16()
		low = binary.BigEndian.Uint64(b[8:]) ^ binary.BigEndian.Uint64(b[:8])
	}
	return int((low^uint64(port)<<40)*golden>>32) & (size - 1)
}
