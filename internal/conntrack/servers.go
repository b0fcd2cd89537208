package conntrack

import (
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/steering"
)

// server is one start of a backend server that has tracked flows.
type server struct {
	startID
	service  string
	token    steering.Token
	flows    int
	gone     bool
	replaced bool          // whether it is gone because a later start has the same id
	goneAt   time.Duration // when the table first said that it is gone
	reset    bool          // whether all its flows that may be reset were reset
}

// startID identifies one start of a backend server.
type startID struct {
	id    string
	born  int64
	epoch uint64
}

// isBefore reports whether a record of the same id belongs to a later start.
func (s startID) isBefore(r *steering.Server) bool {
	if r.Epoch != s.epoch {
		return r.Epoch > s.epoch
	}
	return r.Born > s.born
}

// servers holds the starts that have tracked flows. The first element is not used.
type servers struct {
	list  []server
	index map[startID]uint32
	free  []uint32
}

// acquire returns the index of a backend server and counts a flow of it.
func (s *servers) acquire(x *steering.Server) uint32 {
	id := startID{id: x.ID, born: x.Born, epoch: x.Epoch}
	i, known := s.index[id]
	if !known {
		if n := len(s.free); n > 0 {
			i, s.free = s.free[n-1], s.free[:n-1]
		} else {
			s.list = append(s.list, server{})
			i = uint32(len(s.list) - 1)
		}
		s.list[i] = server{startID: id, service: x.Service, token: x.Token}
		s.index[id] = i
	}
	s.list[i].flows++
	return i
}

// release counts a flow less.
func (s *servers) release(i uint32) {
	x := &s.list[i]
	x.flows--
	if x.flows == 0 {
		delete(s.index, x.startID)
		*x = server{}
		s.free = append(s.free, i)
	}
}

// update compares a backend server with its record in a table. One that the table does
// not hold stays as it is: only a record tells that a backend server is gone.
func (s *server) update(now time.Duration, table *steering.Table) {
	record := table.Server(s.token)
	switch {
	case record == nil || record.ID != s.id:
	case s.isBefore(record):
		s.setGone(now)
		s.replaced = true
	case record.Born == s.born && record.Epoch == s.epoch && record.Status == catalog.Gone:
		s.setGone(now)
	case record.Born == s.born && record.Epoch == s.epoch:
		s.gone = false // its departure was that of an earlier start
	}
}

func (s *server) setGone(now time.Duration) {
	if !s.gone {
		s.gone, s.goneAt, s.reset = true, now, false
	}
}

// isDue reports whether the flows of a backend server are to be reset.
func (s *server) isDue(now time.Duration) bool {
	return s.gone && !s.reset && s.flows > 0 && now-s.goneAt >= resetDelay
}

// mayServe reports whether a flow that was first seen at a given time may be served by
// the start that replaced this one.
func (s *server) mayServe(firstAt stamp) bool {
	return s.replaced && stampOf(s.goneAt).since(firstAt) < maxAnnounceDelay
}
