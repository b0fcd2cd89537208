package place

import (
	"cmp"
	"math"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// hostView is the state of an entry host during one round.
type hostView struct {
	table.Host
	hasRecords bool // still holds the records of its roles
	leaving    bool // hands its records over to other hosts
	eligible   bool // may be given roles
	homes      int  // number of buckets whose home it is
	roles      int  // number of buckets whose home or backup it is
}

// planHosts updates the entry hosts of the placement from the hosts of the input.
func (r *round) planHosts() {
	old := make(map[string]table.Host, len(r.in.Current.Hosts))
	for _, h := range r.in.Current.Hosts {
		old[h.Name] = h
	}
	r.oldestRevision = math.MaxUint64
	for _, h := range r.in.Hosts {
		known, ok := old[h.Name]
		if h.State == model.Left || !ok && h.LeaseExpired {
			continue
		}
		delete(old, h.Name)
		r.planHost(h, known, ok)
	}
	for _, h := range old {
		r.planMissingHost(h)
	}
	slices.Sort(r.delta.RemoveHosts)
	r.findPartitionedZones()
	r.recordPartition()
	r.homes = newHomeChooser(r.hosts)
}

func (r *round) planHost(h Host, old table.Host, known bool) {
	want := table.Host{Num: old.Num, Name: h.Name, Zone: h.Zone, RPC: h.RPC, Relay: h.Relay, Incarnation: h.Incarnation}
	want.State, want.Returns = hostState(h), old.Returns
	revived := old.State == model.Dead && want.State != model.Dead
	if known && (revived || old.Incarnation != h.Incarnation) {
		want.Returns++
	}
	if !known {
		want.Num = table.HostNum(r.delta.NextNum)
		r.delta.NextNum++
	}
	if h.LeaseExpired && r.absentTooLong(want.Num) {
		r.dropHost(want.Num)
		return
	}
	if want != old {
		r.delta.SetHosts = append(r.delta.SetHosts, want)
	}
	if !h.LeaseExpired {
		delete(r.planner.absentSince, want.Num)
		r.oldestRevision = min(r.oldestRevision, h.Revision)
	}
	r.hosts[want.Num] = &hostView{
		Host:       want,
		hasRecords: known && old.Incarnation == h.Incarnation && !h.LeaseExpired,
		leaving:    h.Leaving,
		eligible:   !h.LeaseExpired && !h.Leaving && h.State == model.Alive,
	}
}

// hostState returns the state of a host in the table.
func hostState(h Host) model.HostState {
	switch {
	case h.LeaseExpired:
		return model.Dead
	case h.Leaving:
		return model.Leaving
	}
	return model.Alive
}

// planMissingHost handles a host of the placement that has left, or that the input
// does not list. An unlisted host keeps its roles during warm-up, because the
// planner may not have information on it yet.
func (r *round) planMissingHost(h table.Host) {
	left := slices.ContainsFunc(r.in.Hosts, func(m Host) bool { return m.Name == h.Name })
	if left || r.absentTooLong(h.Num) {
		r.dropHost(h.Num)
		return
	}
	warmingUp := r.in.Now.Sub(r.planner.started) < warmUp
	if warmingUp {
		r.unknownRevision = true
	}
	r.hosts[h.Num] = &hostView{Host: h, hasRecords: warmingUp}
}

func (r *round) dropHost(n table.HostNum) {
	r.delta.RemoveHosts = append(r.delta.RemoveHosts, n)
	delete(r.planner.absentSince, n)
}

// absentTooLong reports whether the host has been absent for absentHold, counted
// from the first call for the host.
func (r *round) absentTooLong(n table.HostNum) bool {
	since, ok := r.planner.absentSince[n]
	if !ok {
		r.planner.absentSince[n] = r.in.Now
		return false
	}
	return r.in.Now.Sub(since) >= absentHold
}

// findPartitionedZones determines the zones in which no entry host holds its
// records or is eligible for roles. These are taken to be partitioned.
func (r *round) findPartitionedZones() {
	r.partitionedZones = map[string]bool{}
	for _, h := range r.hosts {
		if _, ok := r.partitionedZones[h.Zone]; !ok {
			r.partitionedZones[h.Zone] = true
		}
		if h.hasRecords || h.eligible {
			r.partitionedZones[h.Zone] = false
		}
	}
}

// sortedHosts returns the hosts sorted by number.
func sortedHosts(hosts map[table.HostNum]*hostView) []*hostView {
	list := make([]*hostView, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *hostView) int { return cmp.Compare(a.Num, b.Num) })
	return list
}
