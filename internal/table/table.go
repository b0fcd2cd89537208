// Package table holds the placement of flows: which backend servers each
// bucket of a service may use, and which entry host is its home. A placement
// changes by numbered deltas. A Table is built from a placement, is
// immutable, and is read by the data path without a lock.
package table

import "net/netip"

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
