// Package table defines the placement of flows. A bucket is a fixed share of a
// service's flows by hash. Its candidates are the backend servers that it may use.
// While the bucket moves to another candidate, its home, an entry host, records the
// backend server of each flow, and its backups hold copies of the records.
//
// A placement is changed by deltas, each of which is applied as a new revision. A
// Table is built from a placement. It is immutable, and the data path reads it
// without a lock.
package table

import "net/netip"

// Endpoint is an address of a service, in the form of a packet's destination.
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

// Table is the immutable view of the placement for the data path.
type Table struct {
	Revision  uint64
	Seed      uint64 // seed of the flow hash
	ByAddress map[Endpoint]*Service
	ByName    map[string]*Service
	Backends  map[BackendNum]Backend
	Hosts     map[HostNum]Host
}
