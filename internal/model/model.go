// Package model defines the types that all packages share: hosts, backend servers
// and their states.
package model

import (
	"net/netip"
	"time"
)

// BackendState is the state of a backend server. The backend server announces it. The
// hosts replace it when they eject the backend server, or when its announcements have
// stopped.
type BackendState string

// The states of a backend server.
const (
	Starting BackendState = "starting" // has started, takes no work yet
	Ready    BackendState = "ready"    // takes work
	Draining BackendState = "draining" // keeps its flows and requests, takes no new ones
	Gone     BackendState = "gone"     // has left or was declared gone
)

// Valid reports whether s is a known state.
func (s BackendState) Valid() bool {
	switch s {
	case Starting, Ready, Draining, Gone:
		return true
	}
	return false
}

// Backend is a backend server as described by its announcement.
type Backend struct {
	ID          string
	Service     string
	Zone        string
	Packet      netip.AddrPort // address for encapsulated packets over UDP
	Request     netip.AddrPort // address for HTTP requests
	Stream      netip.AddrPort // address for connections from the plain TCP listener
	State       BackendState
	Incarnation uint64        // increases with each start of the backend server
	Slots       int           // requests that may run at once
	Weight      int           // relative share of flows, 0 means the setting backend.weight
	Load        float64       // load by the backend server's own measure, comparable only within its service, 0 if it reports none
	Lease       time.Duration // time after which the announcement expires unless it is renewed
	Silent      bool          // the lease has expired, although the backend server may still be running
}

// HostState is the state of a host of the system.
type HostState string

// The states of a host.
const (
	Alive   HostState = "alive"
	Suspect HostState = "suspect" // probes failed, but the host is not yet declared dead
	Dead    HostState = "dead"    // declared dead by the other hosts
	Leaving HostState = "leaving" // shutting down, but still working
	Left    HostState = "left"    // shut down gracefully
)

// Host is a host of the system: an entry host, a control host or both.
type Host struct {
	Name        string
	Zone        string
	Entry       bool
	Control     bool
	Incarnation uint64         // increases with each start of the process
	RPC         string         // TCP address for calls between hosts
	Gossip      string         // UDP address for gossip
	Relay       netip.AddrPort // UDP address for relayed packets
	State       HostState
	Revision    uint64 // revision of the state in force on the host
}
