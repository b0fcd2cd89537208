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
	// checkRecords is set if flows of stable buckets may have records that take
	// precedence over the table.
	checkRecords bool
	// reachable lists, in ascending order, the hosts that a cut-off host can
	// reach, including itself. It is nil unless the host is cut off.
	reachable    []table.HostNum
	zones        map[string]bool // zones of the reachable hosts
	healing      bool            // the lease has been renewed; see HealDelay
	serviceIndex []serviceEntry  // hash table with linear probing
	backendIndex []backendEntry  // hash table with linear probing
}

// backendEntry is an entry of the index of backend servers whose state is not
// Gone.
type backendEntry struct {
	num     table.BackendNum // 0 marks a free entry
	service *table.Service
}

// serviceEntry is an entry of the index of services.
type serviceEntry struct {
	endpoint table.Endpoint
	service  *table.Service // nil marks a free entry
}

// NewView returns the view of the entry host called name. It takes into
// account the records that the router has from a period when the host was cut off.
func NewView(t *table.Table, name string, r *Router) *View {
	v := &View{Table: t, checkRecords: r.cutOffBuckets.any()}
	for _, h := range t.Hosts {
		if h.Name == name {
			v.self = h.Num
		}
	}
	v.indexServices()
	v.indexBackends()
	return v
}

// CutOff returns the view of a host whose lease has expired and which can reach
// only the hosts for which reaches returns true.
func (v *View) CutOff(reaches func(table.Host) bool) *View {
	c := *v
	c.checkRecords = true
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

// Healing returns a view of a cut-off host whose lease has been renewed.
func (v *View) Healing() *View {
	c := *v
	c.healing = true
	return &c
}

func (v *View) isCutOff() bool { return v.reachable != nil }

// Self returns the number of the host, or 0 if the host is not in the table.
func (v *View) Self() table.HostNum { return v.self }

// Destination returns the backend server. It reports false if the server is
// unknown or its state is Gone.
func (v *View) Destination(n table.BackendNum) (table.Backend, bool) {
	b, ok := v.Table.Backends[n]
	return b, ok && b.State != model.Gone
}

// canDeliver reports whether packets of the service may be sent to a backend
// server: the server is in the table, its state is not Gone, and it belongs to
// the service.
func (v *View) canDeliver(n table.BackendNum, svc *table.Service) bool {
	for i := backendStart(n, len(v.backendIndex)); ; i = (i + 1) & (len(v.backendIndex) - 1) {
		s := &v.backendIndex[i]
		if s.num == n {
			return n != 0 && s.service == svc
		}
		if s.num == 0 {
			return false
		}
	}
}

// indexBackends fills the index of backend servers whose state is not Gone.
func (v *View) indexBackends() {
	v.backendIndex = make([]backendEntry, indexSize(len(v.Table.Backends)))
	for n, b := range v.Table.Backends {
		svc := v.Table.ByName[b.Service]
		if b.State == model.Gone || svc == nil {
			continue
		}
		i := backendStart(n, len(v.backendIndex))
		for v.backendIndex[i].num != 0 {
			i = (i + 1) & (len(v.backendIndex) - 1)
		}
		v.backendIndex[i] = backendEntry{num: n, service: svc}
	}
}

// backendStart returns the index at which the search for a backend server starts.
func backendStart(n table.BackendNum, size int) int {
	return int(uint64(n)*goldenRatio64>>32) & (size - 1)
}

// indexSize returns a power of two that is at least 2n.
func indexSize(n int) int {
	size := 2
	for size < 2*n {
		size *= 2
	}
	return size
}

// indexServices fills the index of services. At most half of its entries are in
// use.
func (v *View) indexServices() {
	size := indexSize(len(v.Table.ByAddress))
	v.serviceIndex = make([]serviceEntry, size)
	for e, svc := range v.Table.ByAddress {
		i := serviceStart(e.Addr, e.Port, size)
		for v.serviceIndex[i].service != nil {
			i = (i + 1) & (size - 1)
		}
		v.serviceIndex[i] = serviceEntry{endpoint: e, service: svc}
	}
}

// service returns the service at the packet's destination address, or nil if
// there is none.
func (v *View) service(p *flow.Packet) *table.Service {
	for i := serviceStart(p.Dst, p.DstPort, len(v.serviceIndex)); ; i = (i + 1) & (len(v.serviceIndex) - 1) {
		s := &v.serviceIndex[i]
		e := &s.endpoint
		if s.service == nil || e.Port == p.DstPort && e.Proto == p.Proto && e.Addr == p.Dst {
			return s.service
		}
	}
}

// goldenRatio64 is 2^64 divided by the golden ratio. Multiplying by it spreads
// numbers that differ in few bits over the hash table.
const goldenRatio64 = 0x9e3779b97f4a7c15

// serviceStart returns the index at which the search for an address starts.
func serviceStart(addr netip.Addr, port uint16, size int) int {
	var low uint64
	if addr.Is4() {
		b := addr.As4()
		low = uint64(binary.BigEndian.Uint32(b[:]))
	} else {
		b := addr.As16()
		low = binary.BigEndian.Uint64(b[8:]) ^ binary.BigEndian.Uint64(b[:8])
	}
	return int((low^uint64(port)<<40)*goldenRatio64>>32) & (size - 1)
}
