package steering

import (
	"slices"
	"time"

	"greengagequay/internal/warmup"
)

// coldServers decides which cold backend servers this host may use. It is only active
// if a bound is set.
type coldServers struct {
	bound warmup.Bound
	host  string // feed address of this host
	gate  warmup.Gate
	ended []endedEvacuation // those whose zones may still have cold backend servers
}

type endedEvacuation struct {
	zone string
	at   time.Duration
}

func newColdServers(cfg Config) coldServers {
	return coldServers{bound: cfg.ColdBound, host: cfg.Host}
}

// startZoneWarmup records that the latest evacuation of a zone ended at a time. The
// backend servers of the zone are cold from then on for the warm-up time of their service,
// whether or not their heartbeats say so.
func (c *coldServers) startZoneWarmup(zone string, endedAt time.Duration) {
	c.ended = slices.DeleteFunc(c.ended, func(e endedEvacuation) bool { return e.zone == zone })
	c.ended = append(c.ended, endedEvacuation{zone: zone, at: endedAt})
}

// contains reports whether a backend server is cold.
func (c *coldServers) contains(now time.Duration, server *Server) bool {
	if now < server.ColdUntil {
		return true
	}
	for _, e := range c.ended {
		if e.zone == server.Zone && now < e.at+server.warmup {
			return true
		}
	}
	return false
}

// isBounded reports whether the flows of a backend server are limited now.
func (c *coldServers) isBounded(now time.Duration, server *Server) bool {
	return c.bound != warmup.Bound{} && c.contains(now, server)
}

// excludes reports whether this host may not use a backend server since it is cold, and
// another host is admitted or the share of this one is used up.
func (c *coldServers) excludes(now time.Duration, server *Server, t *Table) bool {
	return c.exclusionOf(now, server, t) != notExcluded
}

// coldExclusion is why this host may not use a cold backend server.
type coldExclusion uint8

const (
	notExcluded coldExclusion = iota
	noAdmission               // no admission has arrived
	notAdmitted               // only other hosts are admitted
	usedUp                    // this host has used up its share of the bound
)

func (c *coldServers) exclusionOf(now time.Duration, server *Server, t *Table) coldExclusion {
	if !c.isBounded(now, server) {
		return notExcluded
	}
	a := server.Admission
	if a == nil {
		return noAdmission
	}
	if !slices.Contains(a.Hosts, c.host) {
		return notAdmitted
	}
	each := a.EachWithin(c.bound.PerSecond(t.settings[server.Service].WarmupRate))
	if !c.gate.Allows(now, server.ID, server.Born, each) {
		return usedUp
	}
	return notExcluded
}

// recordPlaced records a flow that was placed on a backend server.
func (c *coldServers) recordPlaced(now time.Duration, server *Server) {
	if c.isBounded(now, server) {
		c.gate.Record(now, server.ID, server.Born)
	}
}

// expire deletes state that is no longer needed.
func (c *coldServers) expire(now time.Duration, t *Table) {
	c.gate.Expire(now)
	if t.Version == 0 {
		return // the warm-up times are not known yet
	}
	longest := time.Duration(0)
	for service := range t.settings {
		longest = max(longest, t.warmup(service))
	}
	c.ended = slices.DeleteFunc(c.ended, func(e endedEvacuation) bool { return now >= e.at+longest })
}

// warmup returns for how long a backend server of a service is cold after its start.
func (t *Table) warmup(service string) time.Duration {
	return time.Duration(t.settings[service].Warmup) * time.Millisecond
}
