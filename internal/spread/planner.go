package spread

import (
	"math"
	"time"
)

const (
	// smoothing is the time constant over which demand is averaged. With 2 s the plan
	// lagged behind waves of 15 s so far that it gained little.
	smoothing = 700 * time.Millisecond
	// demandTimeout is the time after which the demand that another control host
	// reported no longer counts.
	demandTimeout = 3 * time.Second
	// minChange is the smallest change of a share that puts a new plan in force.
	minChange = 0.05
)

// Planner averages the demand that control hosts report and keeps the plan in force.
// It is not safe for concurrent use.
type Planner struct {
	sources map[string]source // latest demand of each control host
	mean    map[demandKey]Demand
	lastAt  time.Duration
	plan    []ZoneShare
}

type source struct {
	demands    []Demand
	receivedAt time.Duration
}

type demandKey struct {
	service, zone string
	priority      int
}

// NewPlanner returns a planner without demand.
func NewPlanner() *Planner {
	return &Planner{sources: map[string]source{}, mean: map[demandKey]Demand{}}
}

// Receive replaces the demand that the followers of a control host put on services.
func (p *Planner) Receive(now time.Duration, from string, demands []Demand) {
	p.sources[from] = source{demands, now}
}

// Forget drops the demand of a control host.
func (p *Planner) Forget(from string) { delete(p.sources, from) }

// Demands returns the averaged demand of all control hosts.
func (p *Planner) Demands() []Demand {
	var list []Demand
	for _, d := range p.mean {
		list = append(list, d)
	}
	return list
}

// Tick averages the demand and returns the plan for the rooms given, and whether it
// differs from the one that Tick returned last. Rooms are not averaged: room that is
// lost counts at once.
func (p *Planner) Tick(now time.Duration, rooms []Room) ([]ZoneShare, bool) {
	p.average(now)
	next := Plan(p.Demands(), rooms)
	if !differs(p.plan, next) {
		return p.plan, false
	}
	p.plan = next
	return next, true
}

// average moves the mean demand towards the present one.
func (p *Planner) average(now time.Duration) {
	weight := 1 - math.Exp(-float64(now-p.lastAt)/float64(smoothing))
	p.lastAt = now
	current := p.current(now)
	for k := range p.mean {
		if _, ok := current[k]; !ok {
			current[k] = Demand{Service: k.service, Zone: k.zone, Priority: k.priority}
		}
	}
	for k, d := range current {
		mean, known := p.mean[k]
		if !known {
			mean = d
		}
		mean.Busy += weight * (d.Busy - mean.Busy)
		mean.Pressure += weight * (d.Pressure - mean.Pressure)
		p.mean[k] = mean
		if mean.Busy < minBusy && d.Busy == 0 {
			delete(p.mean, k)
		}
	}
}

// minBusy is the mean number of requests in progress below which past demand is
// forgotten.
const minBusy = 0.01

// current sums the latest demand of all control hosts. The pressure is that of the
// mean request.
func (p *Planner) current(now time.Duration) map[demandKey]Demand {
	sums := map[demandKey]Demand{}
	for from, s := range p.sources {
		if now-s.receivedAt > demandTimeout {
			delete(p.sources, from)
			continue
		}
		for _, d := range s.demands {
			k := demandKey{d.Service, d.Zone, d.Priority}
			sum := sums[k]
			sum.Service, sum.Zone, sum.Priority = d.Service, d.Zone, d.Priority
			if total := sum.Busy + d.Busy; total > 0 {
				sum.Pressure = (sum.Pressure*sum.Busy + d.Pressure*d.Busy) / total
			}
			sum.Busy += d.Busy
			sums[k] = sum
		}
	}
	return sums
}

// differs reports whether a share differs by minChange or more, or appears or
// disappears altogether. Both plans are ordered.
func differs(a, b []ZoneShare) bool {
	shares := map[ZoneShare]float64{}
	for _, s := range a {
		key := s
		key.Share = 0
		shares[key] = s.Share
	}
	for _, s := range b {
		key := s
		key.Share = 0
		before, ok := shares[key]
		if !ok || math.Abs(before-s.Share) >= minChange {
			return true
		}
		delete(shares, key)
	}
	return len(shares) > 0
}
