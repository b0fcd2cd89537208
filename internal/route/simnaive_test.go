package route_test

import (
	"slices"

	"greengagequay/internal/flow"
	"greengagequay/internal/model"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// decideNaive decides as a load balancer without homes does: by the hash modulo the
// number of backend servers, or by rendezvous hashing with a table of the flows
// that this host has seen.
func (s *sim) decideNaive(h *simHost, p *flow.Packet) route.Verdict {
	svc := h.table.ByAddress[p.Endpoint()]
	ready := naiveReady(h.table, svc.Name)
	hash := p.Hash(h.table.Seed)
	if s.version == "modulo" {
		return route.Verdict{Action: route.Forward, Backend: ready[hash%uint64(len(ready))]}
	}
	return route.Verdict{Action: route.Forward, Backend: rendezvousLocal(h.local, ready, hash, func(n table.BackendNum) bool {
		b, ok := h.table.Backends[n]
		return ok && b.State != model.Gone
	})}
}

// naiveReady returns the ready backend servers of a service in ascending order.
func naiveReady(t *table.Table, service string) []table.BackendNum {
	var ready []table.BackendNum
	for n, b := range t.Backends {
		if b.Service == service && b.State == model.Ready {
			ready = append(ready, n)
		}
	}
	slices.Sort(ready)
	return ready
}

// rendezvousLocal returns the backend server of a flow from the local flow table if
// it is usable, else the ready one with the highest score, which it records.
func rendezvousLocal(local map[uint64]table.BackendNum, ready []table.BackendNum, hash uint64, usable func(table.BackendNum) bool) table.BackendNum {
	if n, ok := local[hash]; ok && usable(n) {
		return n
	}
	var best table.BackendNum
	var most uint64
	for _, n := range ready {
		score := (hash ^ uint64(n)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		if score ^= score >> 31; score >= most {
			best, most = n, score
		}
	}
	local[hash] = best
	return best
}
