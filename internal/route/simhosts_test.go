package route_test

import (
	"time"

	"greengagequay/internal/records"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// start starts a host without any state from before.
func (s *sim) start(h *simHost) {
	h.Incarnation++
	h.up, h.leaving, h.knownRevision = true, false, 0
	h.local = map[uint64]table.BackendNum{}
	h.stallDetector = route.NewStallDetector()
	h.router = route.NewRouter(1 << 20)
	h.replicator = route.NewReplicator(h.router, func(string) time.Duration { return simIdle })
	h.table, h.view = nil, nil
	incarnation := h.Incarnation
	var step func()
	step = func() {
		if h.up && h.Incarnation == incarnation {
			s.step(h)
			s.schedule(200*time.Millisecond, step)
		}
	}
	s.schedule(0, step)
}

// step does the periodic work of a host: it updates the lease, sends copies of
// records and expires idle records.
func (s *sim) step(h *simHost) {
	if h.table == nil || s.isNaive() {
		return
	}
	s.updateLease(h)
	for _, c := range h.replicator.Step(s.time(), h.view) {
		s.sendCopy(h, c)
	}
	if s.now/time.Second != (s.now-200*time.Millisecond)/time.Second {
		h.router.Records.Expire(s.seconds(), func(table.BackendNum, records.Flag) records.Seconds {
			return records.Seconds(simIdle / time.Second)
		})
	}
}

// updateLease puts a host into cut-off mode when its lease expires, and back into
// normal mode HealDelay after the lease is renewed.
func (s *sim) updateLease(h *simHost) {
	if s.partitionedZone == h.Zone {
		h.leaseRenewedAt = 0
		if !h.cutOff && s.now > s.partitionedAt+lossAfter/2 {
			h.cutOff = true
			s.adopt(h, h.table)
		}
		return
	}
	if !h.cutOff {
		return
	}
	if h.leaseRenewedAt == 0 {
		h.leaseRenewedAt = s.now
	}
	h.router.Heal(h.view)
	h.cutOff = s.now < h.leaseRenewedAt+route.HealDelay
	s.adopt(h, h.table)
}

func (s *sim) sendCopy(from *simHost, c route.Copy) {
	to := s.host(c.To)
	s.count.controlBytes += int64(len(c.Batch.Data))
	s.deliverMessage(from, to, func() {
		if c.Batch.Override {
			to.replicator.Interrupted(s.time(), c.ID)
		}
		if to.Incarnation == c.Incarnation && to.router.Install(s.seconds(), c.Batch) == nil {
			s.deliverMessage(to, from, func() { from.replicator.Acked(s.time(), c) })
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

// adopt applies a table on a host, unless the host has a newer revision.
func (s *sim) adopt(h *simHost, t *table.Table) {
	if h.table != nil && t.Revision < h.table.Revision {
		return
	}
	h.table = t
	h.view = route.NewView(t, h.Name, h.router)
	if h.cutOff {
		h.view = h.view.CutOff(func(o table.Host) bool { return o.Zone == h.Zone })
		if h.leaseRenewedAt > 0 {
			h.view = h.view.Healing()
		}
	}
}
