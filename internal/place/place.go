// Package place computes the placement of buckets on backend servers. From the
// current placement, the hosts and backend servers, their reports, and the time,
// it computes a delta: the next changes to the placement. It does no I/O and reads
// no clock. The same sequence of inputs gives the same deltas. Package table
// explains the candidates, phases, homes and backups of buckets.
package place

import (
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// Waiting times of the planner.
const (
	// warmUp is how long a new planner waits for information on a host or backend
	// server of the placement before it treats it as gone.
	warmUp = 10 * time.Second
	// initialWait is how long the planner collects the first backend servers of
	// a service before it places the service's buckets.
	initialWait = time.Second
	// goneHold is how long a gone backend server stays a candidate, so that hosts
	// have time to reset its flows.
	goneHold = 2 * time.Minute
	// absentHold is how long a host stays in the placement while its lease is
	// expired or the input does not list it.
	absentHold = 10 * time.Minute
)

// maxUpdates limits the bucket updates of one delta. Further updates
// follow in the next delta, except changes of home, which are never deferred.
const maxUpdates = 4096

// Host is an entry host with what the control host knows of its lease.
type Host struct {
	model.Host
	// LeaseExpired is true if the host's lease has expired. The host then does not
	// forward a packet by its table alone, but also checks the records.
	LeaseExpired bool
	// Leaving is true while the host hands its records over to other hosts.
	Leaving bool
}

// Input is what a placement is computed from.
type Input struct {
	Now          time.Time
	Tree         settings.Tree
	TreeRevision uint64 // increases with each change of Tree
	Current      *table.Placement
	Hosts        []Host          // entry hosts, sorted by name
	Backends     []model.Backend // announced backend servers, sorted by ID
	// Statuses are the reports of the homes of moving buckets, and with Kept set
	// those of hosts that were cut off (without a valid lease) and have records from
	// that time.
	Statuses []records.BucketStatus
	// Flows is the number of open flows that entry hosts counted for each
	// backend server.
	Flows map[table.BackendNum]float64
}

// Planner computes deltas. It keeps only soft state between calls: a new planner
// can take over from the placement alone. It is not safe for concurrent use.
type Planner struct {
	started       time.Time
	lastPartition time.Time                      // when a zone was last seen partitioned
	goneSince     map[table.BackendNum]time.Time // when the backend server was first seen gone
	absentSince   map[table.HostNum]time.Time    // when the host was first seen absent
	firstUsable   map[string]time.Time           // when a service without buckets first had a usable backend server
	limits        map[string]*moveLimit
	loadStates    map[string]*loadState
	converged     map[string]convergedState
	config        configCache
}

// NewPlanner returns a planner without state from earlier calls.
func NewPlanner() *Planner {
	return &Planner{
		goneSince:   map[table.BackendNum]time.Time{},
		absentSince: map[table.HostNum]time.Time{},
		firstUsable: map[string]time.Time{},
		limits:      map[string]*moveLimit{},
		loadStates:  map[string]*loadState{},
		converged:   map[string]convergedState{},
	}
}

// Next returns the next delta to apply to the placement.
func (p *Planner) Next(in Input) table.Delta {
	if p.started.IsZero() {
		p.started = in.Now
	}
	p.config.refresh(in.Tree, in.TreeRevision)
	r := newRound(p, in)
	r.planHosts()
	r.planBackends()
	for _, name := range p.config.services {
		r.planService(name)
	}
	r.removeServices()
	r.removeBackends()
	return r.delta
}
