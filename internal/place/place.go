// Package place computes the placement of buckets on backend servers. It is
// pure: the present placement, the members, what entry hosts report and the
// time go in, a delta comes out. The same inputs give the same deltas.
package place

import (
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// Times of the planner.
const (
	// warmUp is how long a new planner waits to hear from a host or backend
	// server that is in the placement before it counts it as gone.
	warmUp = 10 * time.Second
	// firstWait is how long the planner gathers the first backend servers of
	// a service before it places the service's buckets.
	firstWait = time.Second
	// goneHold is how long a lost backend server stays a candidate, so that
	// its flows are reset.
	goneHold = 2 * time.Minute
	// silentHold is how long a silent host stays in the placement.
	silentHold = 10 * time.Minute
)

// maxUpdates bounds the bucket updates of one delta. The rest follows in the
// next one.
const maxUpdates = 4096

// Host is an entry host as the controller knows it.
type Host struct {
	model.Host
	// LeaseOut is true once the host's lease has run out. It then no longer
	// forwards by its table alone.
	LeaseOut bool
	// Leaving is true while the host hands its records over.
	Leaving bool
}

// Input is what a placement is computed from.
type Input struct {
	Now          time.Time
	Tree         settings.Tree
	TreeRevision uint64 // rises with each change of Tree
	Current      *table.Placement
	Hosts        []Host                 // entry hosts, in the order of their names
	Backends     []model.Backend        // announced backend servers, in the order of their IDs
	Statuses     []records.BucketStatus // as the homes of moving buckets reported
	// Flows is the number of open flows that entry hosts counted for each
	// backend server.
	Flows map[table.BackendNum]float64
}

// Planner computes deltas. What it remembers between two calls is soft: a new
// planner that takes over goes on from the placement. It is not safe for
// concurrent use.
type Planner struct {
	started  time.Time
	lastCut  time.Time                      // when a zone was last cut off
	gone     map[table.BackendNum]time.Time // first seen gone
	silent   map[table.HostNum]time.Time    // first seen silent
	first    map[string]time.Time           // first usable backend server of a service without buckets
	limits   map[string]*limit
	balances map[string]*balance
	quiet    map[string]quiet
	config   configCache
}

// NewPlanner returns a planner without memory.
func NewPlanner() *Planner {
	return &Planner{
		gone:     map[table.BackendNum]time.Time{},
		silent:   map[table.HostNum]time.Time{},
		first:    map[string]time.Time{},
		limits:   map[string]*limit{},
		balances: map[string]*balance{},
		quiet:    map[string]quiet{},
	}
}

// Next returns the delta that brings the placement to its next step.
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
