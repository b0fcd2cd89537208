// Package model holds the objects that all parts share: entry hosts, backend
// servers and their states.
package model

import (
	"net/netip"
	"time"
)

// BackendState is the state in which a backend server announces itself.
type BackendState string

// The states of a backend server.
const (
	Starting BackendState = "starting" // exists, takes no work yet
	Ready    BackendState = "ready"    // takes work
	Draining BackendState = "draining" // keeps its flows and requests, takes no new ones
	Gone     BackendState = "gone"     // has left
)

// Valid reports whether s is a known state.
func (s BackendState) Valid() bool {
	switch s {
	case Starting, Ready, Draining, Gone:
		return true
	}
	return false
}

// Backend is a backend server as it announced itself.
type Backend struct {
	ID          string
	Service     string
	Zone        string
	Packet      netip.AddrPort // takes encapsulated packets over UDP
	Request     netip.AddrPort // takes HTTP requests
	Stream      netip.AddrPort // takes connections of the plain TCP listener
	State       BackendState
	Incarnation uint64 // rises at each start of the backend server
	Slots       int    // requests that may run at once
	Weight      int    // relative share of flows, 0 means the service's default
	Load        float64
	Lease       time.Duration // announcement lapses after this time
	Silent      bool          // the lease has run out, the backend server may live all the same
}

// HostState is the state of a host of the system.
type HostState string

// The states of a host.
const (
	Alive   HostState = "alive"
	Suspect HostState = "suspect" // probes failed, not yet given up
	Dead    HostState = "dead"    // given up
	Leaving HostState = "leaving" // shuts down, still works
	Left    HostState = "left"    // shut down gracefully
)

// Host is a host of the system: an entry host, a control host or both.
type Host struct {
	Name        string
	Zone        string
	Entry       bool
	Control     bool
	Incarnation uint64         // rises at each start of the process
	RPC         string         // TCP address for calls between hosts
	Gossip      string         // UDP address for gossip
	Relay       netip.AddrPort // UDP address for relayed packets
	State       HostState
	Revision    uint64 // revision of the state in force on the host
}
