package steering

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/catalog"
)

// rank is the preference among backend servers for a new flow; the lowest rank
// is chosen.
type rank uint8

const (
	rankOwnZone rank = iota
	rankOtherZone
	rankSuspect  // a suspect: it recently left opening packets unanswered
	rankTried    // it left an earlier opening packet of this flow unanswered
	rankDraining // it began to drain less than Config.DrainFallback ago
	rankSilent   // its heartbeats are missing
	rankExcluded // it gets no new flows
)

// choose returns the backend server for a new flow, or nil if there is none.
// Among those of the best rank it takes the least recently used one, or with
// Config.Shares the one whose turn is next: backend servers have few slots, so
// consecutive flows should not go to the same one.
func (s *Steerer) choose(now time.Duration, list []*Server, tried []string) *Server {
	if s.cfg.Shares && len(list) > 0 {
		return s.chooseByTurn(now, zoneListKey{service: list[0].Service}, list, tried)
	}
	if s.trace != nil {
		s.trace.record(zoneListKey{}, &turns{})
	}
	var best *Server
	bestRank := rankExcluded
	for _, server := range list {
		r := s.rankOf(now, server, tried)
		if r < bestRank || r == bestRank && best != nil && s.lastUsed[server.ID] < s.lastUsed[best.ID] {
			best, bestRank = server, r
		}
	}
	return best
}

func (s *Steerer) rankOf(now time.Duration, server *Server, tried []string) rank {
	if s.zones.contains(server.Zone) {
		return rankExcluded
	}
	return s.rankInService(now, server, tried)
}

// rankInService returns the rank that a backend server has if its zone is not
// evacuated.
func (s *Steerer) rankInService(now time.Duration, server *Server, tried []string) rank {
	switch {
	case s.cold.excludes(now, server, s.table):
		return rankExcluded
	case server.Status == catalog.Draining && s.drains.startedWithin(now, server, s.cfg.DrainFallback):
		return rankDraining
	case server.Status >= catalog.Draining:
		return rankExcluded
	case server.Status == catalog.Silent:
		return rankSilent
	case slices.Contains(tried, server.ID):
		return rankTried
	case s.suspects.contains(now, server):
		return rankSuspect
	case server.Zone != s.cfg.Zone:
		return rankOtherZone
	}
	return rankOwnZone
}

// hash returns a hash of the flow that is the same on all hosts.
func (f Flow) hash() uint64 {
	var buf [36]byte
	caller, route := f.Caller.Addr().As16(), f.Route.Addr().As16()
	copy(buf[:16], caller[:])
	copy(buf[16:32], route[:])
	binary.BigEndian.PutUint16(buf[32:], f.Caller.Port())
	binary.BigEndian.PutUint16(buf[34:], f.Route.Port())
	return xxhash.Sum64(buf[:])
}
