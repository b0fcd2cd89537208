package steering

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/catalog"
)

// rank orders backend servers by how gladly they are chosen, lowest first.
type rank uint8

const (
	rankOwnZone rank = iota
	rankOtherZone
	rankSuspect  // it left opening packets without an answer lately
	rankTried    // it left an opening packet of this flow without an answer
	rankDraining // it has begun to drain just now
	rankSilent
	rankNever
)

// choose returns the backend server for a new flow, or nil. Within the best
// rank it is the one that was used longest ago: slots are few, so two flows in
// a row should not meet.
func (s *Steerer) choose(now time.Duration, list []*Server, tried []string) *Server {
	var best *Server
	bestRank := rankNever
	for _, server := range list {
		r := s.rankOf(now, server, tried)
		if r < bestRank || r == bestRank && best != nil && s.used[server.ID] < s.used[best.ID] {
			best, bestRank = server, r
		}
	}
	return best
}

func (s *Steerer) rankOf(now time.Duration, server *Server, tried []string) rank {
	switch {
	case server.Status == catalog.Draining && s.drains.began(now, server, s.cfg.DrainUse):
		return rankDraining
	case server.Status >= catalog.Draining:
		return rankNever
	case server.Status == catalog.Silent:
		return rankSilent
	case slices.Contains(tried, server.ID):
		return rankTried
	case s.suspects.holds(now, server):
		return rankSuspect
	case server.Zone != s.cfg.Zone:
		return rankOtherZone
	}
	return rankOwnZone
}

// hash spreads flows evenly, alike on all hosts.
func (f Flow) hash() uint64 {
	var buf [36]byte
	caller, route := f.Caller.Addr().As16(), f.Route.Addr().As16()
	copy(buf[:16], caller[:])
	copy(buf[16:32], route[:])
	binary.BigEndian.PutUint16(buf[32:], f.Caller.Port())
	binary.BigEndian.PutUint16(buf[34:], f.Route.Port())
	return xxhash.Sum64(buf[:])
}
