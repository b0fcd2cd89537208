package steering

import "time"

// FullShare is the share of a backend server that gets as many new flows as is usual
// for its service.
const FullShare = 16

// Share is the share of new flows of a backend server since its start at Born.
type Share struct {
	Born  int64
	Value uint8 // from 1 to FullShare
}

// turns holds the order in which this host uses the backend servers of one service, or
// those in one zone (stride scheduling). Each has the virtual time of its next turn. The stride, the
// distance between two of its turns, is FullShare divided by its share. With equal
// shares, that is the order of least recent use.
type turns struct {
	list   []*Server // list of the table to which positions are aligned
	places []place
	shares uint64 // revision of Steerer.shares to which the strides belong
	// clocks holds the virtual time for each rank, which is that of the last turn. Each
	// rank has its own, so that backend servers of a rank that is not used for a while
	// do not fall behind.
	clocks [rankExcluded + 1]float64
}

// place is the position of a backend server in the order of its rank.
type place struct {
	next   float64 // virtual time of its next turn
	stride float64
	born   int64
	rank   rank
}

// SetShare sets the share of a backend server. Those without a share have FullShare.
func (s *Steerer) SetShare(t Token, share Share) {
	s.sharesRevision++
	if share.Value >= FullShare {
		delete(s.shares, t)
		return
	}
	s.shares[t] = share
}

func (s *Steerer) strideOf(server *Server) float64 {
	x, ok := s.shares[server.Token]
	if !ok || x.Born != server.Born || x.Value == 0 {
		return 1
	}
	return float64(FullShare) / float64(x.Value)
}

// setStride changes the stride. The time until the next turn changes by the same
// factor, so a share that falls takes effect before that turn, and hosts whose turns
// are spread over the stride remain so.
func (p *place) setStride(stride, clock float64) {
	if stride != p.stride {
		p.next = clock + (p.next-clock)*stride/p.stride
		p.stride = stride
	}
}

// chooseByTurn returns the backend server of the best rank whose turn is next, or nil
// if there is none. One that is new at this host or was in another rank before gets a
// random position within its stride: otherwise all hosts would use it first, and one
// that was not used for a while would get all its missed turns at once.
func (s *Steerer) chooseByTurn(now time.Duration, key zoneListKey, list []*Server, tried []string) *Server {
	if len(list) == 0 {
		return nil
	}
	t := s.turnsOf(key, list)
	best, bestRank := -1, rankExcluded
	for i, server := range list {
		p := &t.places[i]
		r := s.rankOf(now, server, tried)
		if r != p.rank && r != rankTried { // rankTried holds for this flow only
			p.rank, p.next = r, t.clocks[r]+s.random.Float64()*p.stride
		}
		if r < bestRank || r == bestRank && best >= 0 && p.next < t.places[best].next {
			best, bestRank = i, r
		}
	}
	if s.trace != nil {
		s.trace.record(key, t)
	}
	if best < 0 {
		return nil
	}
	p := &t.places[best]
	t.clocks[p.rank] = max(t.clocks[p.rank], p.next)
	p.next = t.clocks[p.rank] + p.stride
	return list[best]
}

// turnsOf returns the turns of a service, or of its backend servers in one zone if key
// names one, aligned to their list in the current table.
func (s *Steerer) turnsOf(key zoneListKey, list []*Server) *turns {
	t := s.turns[key]
	if t == nil {
		t = &turns{}
		s.turns[key] = t
	}
	sameList := len(t.list) == len(list) && &t.list[0] == &list[0]
	if sameList && t.shares == s.sharesRevision {
		return t
	}
	if !sameList {
		t.align(list)
	}
	for i, server := range list {
		t.places[i].setStride(s.strideOf(server), t.clocks[t.places[i].rank])
	}
	t.shares = s.sharesRevision
	return t
}

// align takes over the list of a new table. A backend server that is new or has
// started again gets a position with its first rank.
func (t *turns) align(list []*Server) {
	known := make(map[Token]place, len(t.list))
	for i, server := range t.list {
		known[server.Token] = t.places[i]
	}
	t.list, t.places = list, make([]place, len(list))
	for i, server := range list {
		p, ok := known[server.Token]
		if !ok || p.born != server.Born {
			p = place{rank: rankExcluded, stride: 1, born: server.Born}
		}
		t.places[i] = p
	}
}
