// Package table holds the placement of flows: which backend servers each
// bucket of a service may use, and which entry host is its home. A placement
// changes by numbered deltas. A Table is built from a placement, is
// immutable, and is read by the data path without a lock.
package table

import (
	"net/netip"
	"slices"

	"greengagequay/internal/model"
)

// Phase tells how far a move of a bucket has come.
type Phase uint8

// The phases of a bucket.
const (
	Stable  Phase = iota // one candidate takes every packet
	Prepare              // two candidates; new flows still go to the oldest
	Move                 // two candidates; new flows go to the newest
	Settle               // unknown flows belong to the newest, recorded ones to older candidates
)

// BackendNum is the number of a backend server. Numbers are not reused.
type BackendNum uint32

// HostNum is the number of an entry host. Numbers are not reused.
type HostNum uint32

// Bucket is the placement of one bucket.
type Bucket struct {
	Candidates []BackendNum // oldest first; empty when the service has none
	Phase      Phase
	Since      uint64    // revision at which the phase was entered
	Home       HostNum   // records the flows of a moving bucket
	Backups    []HostNum // hold copies of the records
}

// Backend is a backend server that the placement knows.
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
	// Incarnation separates restarts of the backend server.
	Incarnation uint64
}

// Host is an entry host that the placement knows.
type Host struct {
	Num   HostNum
	Name  string
	Zone  string
	RPC   string
	Relay netip.AddrPort
	// Incarnation separates restarts of the host.
	Incarnation uint64
}

// Placement is the replicated part of the table.
type Placement struct {
	Revision uint64 // of the last delta
	Backends map[BackendNum]Backend
	Hosts    map[HostNum]Host
	Buckets  map[string][]Bucket // by service
	NextNum  uint32              // next number of a backend server or host
}

// Delta changes a placement. It is applied only to the placement revision it
// is based on, so that a controller which lost its leadership changes nothing.
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
	Service string
	Index   int
	Count   int // number of buckets of the service
	Bucket  Bucket
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

// Apply applies the delta in place as the given revision. It reports false and
// changes nothing if the delta is based on another revision.
func (p *Placement) Apply(d Delta, revision uint64) bool {
	if d.Base != p.Revision {
		return false
	}
	for _, b := range d.SetBackends {
		p.Backends[b.Num] = b
	}
	for _, n := range d.RemoveBackends {
		delete(p.Backends, n)
	}
	for _, h := range d.SetHosts {
		p.Hosts[h.Num] = h
	}
	for _, n := range d.RemoveHosts {
		delete(p.Hosts, n)
	}
	for _, u := range d.SetBuckets {
		if len(p.Buckets[u.Service]) != u.Count {
			p.Buckets[u.Service] = make([]Bucket, u.Count)
		}
		if u.Bucket.Phase != p.Buckets[u.Service][u.Index].Phase {
			u.Bucket.Since = revision
		}
		p.Buckets[u.Service][u.Index] = u.Bucket
	}
	for _, s := range d.RemoveServices {
		delete(p.Buckets, s)
	}
	if d.NextNum > p.NextNum {
		p.NextNum = d.NextNum
	}
	p.Revision = revision
	return true
}

// Clone returns a copy that shares nothing that Apply changes.
func (p *Placement) Clone() *Placement {
	c := NewPlacement()
	c.Revision, c.NextNum = p.Revision, p.NextNum
	for k, v := range p.Backends {
		c.Backends[k] = v
	}
	for k, v := range p.Hosts {
		c.Hosts[k] = v
	}
	for k, v := range p.Buckets {
		c.Buckets[k] = slices.Clone(v)
	}
	return c
}

// Endpoint is an address of a service, as packets carry it.
type Endpoint struct {
	Addr  netip.Addr
	Port  uint16
	Proto uint8 // IP protocol number: 6 is TCP, 17 is UDP
}

// Service is a service of a table.
type Service struct {
	Name    string
	Mask    uint64 // number of buckets minus one
	Buckets []Bucket
}

// Table is an immutable view for the data path.
type Table struct {
	Revision  uint64
	Seed      uint64 // seed of the flow hash
	ByAddress map[Endpoint]*Service
	ByName    map[string]*Service
	Backends  map[BackendNum]Backend
	Hosts     map[HostNum]Host
}
