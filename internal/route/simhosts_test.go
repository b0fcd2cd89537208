package route_test

import (
	"time"

	"greengagequay/internal/records"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// boot starts a host without any memory.
func (s *sim) boot(h *simHost) {
	h.Incarnation++
	h.up, h.leaving, h.seen = true, false, 0
	h.local = map[uint64]table.BackendNum{}
	h.stalls = route.NewStalls()
	h.router = route.NewRouter(1 << 20)
	h.keeper = route.NewKeeper(h.router, func(string) time.Duration { return simIdle })
	h.table, h.view = nil, nil
	incarnation := h.Incarnation
	var step func()
	step = func() {
		if h.up && h.Incarnation == incarnation {
			s.step(h)
			s.after(200*time.Millisecond, step)
		}
	}
	s.after(0, step)
}

// step is what a host does regularly: renew its lease, copy records, forget.
func (s *sim) step(h *simHost) {
	if h.table == nil || s.isNaive() {
		return
	}
	s.renew(h)
	for _, c := range h.keeper.Step(s.time(), h.view) {
		s.copy(h, c)
	}
	if s.now/time.Second != (s.now-200*time.Millisecond)/time.Second {
		h.router.Records.Expire(s.seconds(), func(table.BackendNum, records.Flag) records.Seconds {
			return records.Seconds(simIdle / time.Second)
		})
	}
}

// renew puts a host into the cut-off mode when its lease runs out, and takes it
// out of it a while after the lease is back.
func (s *sim) renew(h *simHost) {
	if s.cut == h.Zone {
		h.heardAt = 0
		if !h.isCut && s.now > s.cutAt+lossAfter/2 {
			h.isCut = true
			s.adopt(h, h.table)
		}
		return
	}
	if !h.isCut {
		return
	}
	if h.heardAt == 0 {
		h.heardAt = s.now
	}
	h.router.Heal(h.view)
	h.isCut = s.now < h.heardAt+route.HealDelay
	s.adopt(h, h.table)
}

func (s *sim) copy(from *simHost, c route.Copy) {
	to := s.host(c.To)
	s.count.controlBytes += int64(len(c.Batch.Data))
	s.message(from, to, func() {
		if c.Batch.Override {
			to.keeper.Interrupted(s.time(), c.ID)
		}
		if to.Incarnation == c.Incarnation && to.router.Install(s.seconds(), c.Batch) == nil {
			s.message(to, from, func() { from.keeper.Acked(s.time(), c) })
		}
	})
}

func (s *sim) host(n table.HostNum) *simHost {
	for _, h := range s.hosts {
		if h.Num == n {
			return h
		}
	}
	panic("unknown host")
}

// adopt puts a table in force on a host. A revision never reverts.
func (s *sim) adopt(h *simHost, t *table.Table) {
	if h.table != nil && t.Revision < h.table.Revision {
		return
	}
	h.table = t
	h.view = route.NewView(t, h.Name, h.router)
	if h.isCut {
		h.view = h.view.CutOff(func(o table.Host) bool { return o.Zone == h.Zone })
		if h.heardAt > 0 {
			h.view = h.view.Healing()
		}
	}
}
