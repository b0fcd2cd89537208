package table

import (
	"maps"
	"net/netip"
	"slices"

	"greengagequay/internal/model"
)

// Backend is a backend server in the placement.
type Backend struct {
	Num     BackendNum
	ID      string
	Service string
	Zone    string
	State   model.BackendState
	Packet  netip.AddrPort
	Request netip.AddrPort
	Stream  netip.AddrPort
	Slots   int
	Weight  int
	// Incarnation is higher after each restart of the backend server.
	Incarnation uint64
	// Entered is when the backend server last became ready after a start or after
	// being gone, in Unix milliseconds.
	Entered int64
}

// Host is an entry host in the placement.
type Host struct {
	Num   HostNum
	Name  string
	Zone  string
	RPC   string
	Relay netip.AddrPort
	// Incarnation is higher after each restart of the host.
	Incarnation uint64
	// State is alive, leaving or dead. Only an alive host may become the home of
	// slots or request keys.
	State model.HostState
	// Returns counts how often the host restarted or became alive after being
	// dead.
	Returns uint32
}

// Placement is the replicated part of the table. It is not safe for
// concurrent use.
type Placement struct {
	Revision uint64 // revision of the last delta
	Backends map[BackendNum]Backend
	Hosts    map[HostNum]Host
	Buckets  map[string][]Bucket // key: name of the service
	NextNum  uint32              // number of the next new backend server or host

	unshared unsharedParts
}

// unsharedParts marks the parts of a placement that are shared with no view. The
// other parts are copied before they are changed.
type unsharedParts struct {
	backends, hosts, services bool
	buckets                   map[string]bool
}

// Delta is a change of a placement. It applies only to the revision that it is
// based on, so that a control host that lost its leadership changes nothing.
type Delta struct {
	Base           uint64
	SetBackends    []Backend
	RemoveBackends []BackendNum
	SetHosts       []Host
	RemoveHosts    []HostNum
	SetBuckets     []BucketUpdate
	RemoveServices []string
	NextNum        uint32
}

// BucketUpdate replaces one bucket.
type BucketUpdate struct {
	Service string `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"` // number of buckets of the service
	Bucket  Bucket `cbor:"4,keyasint"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.SetBackends)+len(d.RemoveBackends)+len(d.SetHosts)+len(d.RemoveHosts)+len(d.SetBuckets)+len(d.RemoveServices) == 0
}

// NewPlacement returns an empty placement.
func NewPlacement() *Placement {
	return &Placement{
		Backends: map[BackendNum]Backend{},
		Hosts:    map[HostNum]Host{},
		Buckets:  map[string][]Bucket{},
		NextNum:  1,
	}
}

// Apply applies the delta in place as the given revision. It returns false and
// changes nothing if the delta is based on another revision. Existing views do
// not change.
func (p *Placement) Apply(d Delta, revision uint64) bool {
	if d.Base != p.Revision {
		return false
	}
	p.applyBackends(d)
	p.applyHosts(d)
	p.applyBuckets(d, revision)
	p.NextNum = max(p.NextNum, d.NextNum)
	p.Revision = revision
	return true
}

func (p *Placement) applyBackends(d Delta) {
	if len(d.SetBackends)+len(d.RemoveBackends) == 0 {
		return
	}
	if !p.unshared.backends {
		p.Backends = cloneMap(p.Backends)
		p.unshared.backends = true
	}
	for _, b := range d.SetBackends {
		p.Backends[b.Num] = b
	}
	for _, n := range d.RemoveBackends {
		delete(p.Backends, n)
	}
}

func (p *Placement) applyHosts(d Delta) {
	if len(d.SetHosts)+len(d.RemoveHosts) == 0 {
		return
	}
	if !p.unshared.hosts {
		p.Hosts = cloneMap(p.Hosts)
		p.unshared.hosts = true
	}
	for _, h := range d.SetHosts {
		p.Hosts[h.Num] = h
	}
	for _, n := range d.RemoveHosts {
		delete(p.Hosts, n)
	}
}

func (p *Placement) applyBuckets(d Delta, revision uint64) {
	if len(d.SetBuckets)+len(d.RemoveServices) == 0 {
		return
	}
	if !p.unshared.services {
		p.Buckets = cloneMap(p.Buckets)
		p.unshared.services = true
	}
	for _, u := range d.SetBuckets {
		buckets := p.unsharedBuckets(u.Service, u.Count)
		if u.Index < 0 || u.Index >= len(buckets) {
			continue
		}
		old := &buckets[u.Index]
		if u.Bucket.routesSameAs(old) {
			u.Bucket.Since = old.Since
		} else {
			u.Bucket.Since = revision
		}
		*old = u.Bucket
	}
	for _, s := range d.RemoveServices {
		delete(p.Buckets, s)
		delete(p.unshared.buckets, s)
	}
}

// unsharedBuckets returns the buckets of a service after copying those that a view
// shares. If their number is not count, they are replaced by empty ones.
func (p *Placement) unsharedBuckets(service string, count int) []Bucket {
	if p.unshared.buckets[service] && len(p.Buckets[service]) == count {
		return p.Buckets[service]
	}
	if len(p.Buckets[service]) == count {
		p.Buckets[service] = slices.Clone(p.Buckets[service])
	} else {
		p.Buckets[service] = make([]Bucket, count)
	}
	if p.unshared.buckets == nil {
		p.unshared.buckets = map[string]bool{}
	}
	p.unshared.buckets[service] = true
	return p.Buckets[service]
}

// View returns a copy that later calls of p.Apply do not change. The copy shares
// all parts with p until Apply changes either of them.
func (p *Placement) View() *Placement {
	p.unshared = unsharedParts{}
	c := *p
	return &c
}

// Clone returns a copy that shares nothing with p.
func (p *Placement) Clone() *Placement {
	c := &Placement{
		Revision: p.Revision,
		Backends: cloneMap(p.Backends),
		Hosts:    cloneMap(p.Hosts),
		Buckets:  make(map[string][]Bucket, len(p.Buckets)),
		NextNum:  p.NextNum,
	}
	for k, v := range p.Buckets {
		c.Buckets[k] = slices.Clone(v)
	}
	return c
}

// cloneMap returns a copy of m. The copy is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
