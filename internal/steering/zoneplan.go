package steering

import (
	"time"

	"greengagequay/internal/admission"
)

// zonePlan holds which part of a service's new flows goes to other zones, and which is
// refused. Fractions are applied by running remainders, so that each of them holds for
// any sequence of flows and not only on average.
type zonePlan struct {
	away     map[string][]*zoneShare
	refused  map[refusalKey]*remainder
	zoneList map[zoneListKey][]*Server // backend servers of the current table by zone, filled on use
}

// zoneShare is the fraction of a service's new flows that goes to one zone.
type zoneShare struct {
	zone string
	remainder
}

// remainder decides for which flows a fraction holds.
type remainder struct{ fraction, sum float64 }

// next reports whether the fraction holds for the next flow.
func (r *remainder) next() bool {
	r.sum += r.fraction
	return r.take()
}

// take reports whether a flow is due, and counts it as done.
func (r *remainder) take() bool {
	if r.sum < 1 {
		return false
	}
	r.sum--
	return true
}

type refusalKey struct {
	service  string
	priority int
}

type zoneListKey struct{ service, zone string }

// ZoneShare is the fraction of a service's new flows at this host that goes to another
// zone.
type ZoneShare struct {
	Service string
	Zone    string
	Share   float64
}

// SetPlan replaces the fractions of new flows that go to other zones or are refused.
// Remainders are kept: a host with few flows may get new plans faster than one flow of a
// small fraction becomes due. Those that are new begin at random, so that the first flows
// of all hosts are not treated alike.
func (s *Steerer) SetPlan(shares []ZoneShare, refusals []admission.Refusal) {
	const percent = 100
	before := s.plan
	s.plan.away, s.plan.refused = map[string][]*zoneShare{}, map[refusalKey]*remainder{}
	for _, x := range shares {
		share := &zoneShare{x.Zone, remainder{x.Share, s.firstSum()}}
		for _, old := range before.away[x.Service] {
			if old.zone == x.Zone {
				share.sum = old.sum
			}
		}
		s.plan.away[x.Service] = append(s.plan.away[x.Service], share)
	}
	for _, x := range refusals {
		key, refusal := refusalKey{x.Service, x.Priority}, &remainder{float64(x.Percent) / percent, s.firstSum()}
		if old := before.refused[key]; old != nil {
			refusal.sum = old.sum
		}
		s.plan.refused[key] = refusal
	}
}

func (s *Steerer) firstSum() float64 {
	if s.random == nil {
		return 0
	}
	return s.random.Float64()
}

// refuses reports whether the next new flow of a service and priority is refused since
// all zones are full.
func (p *zonePlan) refuses(service string, priority int) bool {
	r := p.refused[refusalKey{service, priority}]
	return r != nil && r.next()
}

// zoneOf returns the zone of the backend servers for the next new flow of a service, or
// empty for the zone of this host. Of several zones that are due it returns the one that
// is due most; the others remain due.
func (p *zonePlan) zoneOf(service string) string {
	var due *zoneShare
	for _, x := range p.away[service] {
		x.sum += x.fraction
		if due == nil || x.sum > due.sum {
			due = x
		}
	}
	if due == nil || !due.take() {
		return ""
	}
	return due.zone
}

// serversIn returns the backend servers of a service in one zone.
func (s *Steerer) serversIn(key zoneListKey) []*Server {
	list, ok := s.plan.zoneList[key]
	if ok {
		return list
	}
	for _, server := range s.table.services[key.service] {
		if server.Zone == key.zone {
			list = append(list, server)
		}
	}
	if s.plan.zoneList == nil {
		s.plan.zoneList = map[zoneListKey][]*Server{}
	}
	s.plan.zoneList[key] = list
	return list
}

// chooseByPlan returns the backend server for the first opening packet of a flow: one in
// the zone that the plan names, if that is as good as any in another zone, else the one
// that choose returns.
func (s *Steerer) chooseByPlan(now time.Duration, service string) *Server {
	zone := s.plan.zoneOf(service)
	if s.trace != nil {
		s.trace.planZone = zone
	}
	if zone != "" {
		key := zoneListKey{service, zone}
		server := s.chooseByTurn(now, key, s.serversIn(key), nil)
		if server != nil && s.rankOf(now, server, nil) <= rankOtherZone {
			return server
		}
	}
	return s.choose(now, s.table.services[service], nil)
}
