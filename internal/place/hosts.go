package place

import (
	"cmp"
	"math"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// hostView is an entry host as one round sees it.
type hostView struct {
	table.Host
	keeps   bool // still has the records it had
	leaving bool // hands its records over
	fit     bool // may take records
	homes   int  // buckets whose home it is
	roles   int  // buckets whose home or backup it is
}

// planHosts brings the entry hosts of the placement in step with the members.
func (r *round) planHosts() {
	old := make(map[string]table.Host, len(r.in.Current.Hosts))
	for _, h := range r.in.Current.Hosts {
		old[h.Name] = h
	}
	r.oldest = math.MaxUint64
	for _, h := range r.in.Hosts {
		known, ok := old[h.Name]
		if h.State == model.Left || !ok && h.LeaseOut {
			continue
		}
		delete(old, h.Name)
		r.planHost(h, known, ok)
	}
	for _, h := range old {
		r.planSilentHost(h)
	}
	slices.Sort(r.delta.RemoveHosts)
	r.findCutZones()
	r.noteCut()
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
	if h.LeaseOut && r.isLongSilent(want.Num) {
		r.dropHost(want.Num)
		return
	}
	if want != old {
		r.delta.SetHosts = append(r.delta.SetHosts, want)
	}
	if !h.LeaseOut {
		delete(r.planner.silent, want.Num)
		r.oldest = min(r.oldest, h.Revision)
	}
	r.hosts[want.Num] = &hostView{
		Host:    want,
		keeps:   known && old.Incarnation == h.Incarnation && !h.LeaseOut,
		leaving: h.Leaving,
		fit:     !h.LeaseOut && !h.Leaving && h.State == model.Alive,
	}
}

// hostState returns the state of a host in the table.
func hostState(h Host) model.HostState {
	switch {
	case h.LeaseOut:
		return model.Dead
	case h.Leaving:
		return model.Leaving
	}
	return model.Alive
}

// planSilentHost handles a host of the placement that is not among the
// members: it has left, or this planner has not heard of it yet.
func (r *round) planSilentHost(h table.Host) {
	left := slices.ContainsFunc(r.in.Hosts, func(m Host) bool { return m.Name == h.Name })
	if left || r.isLongSilent(h.Num) {
		r.dropHost(h.Num)
		return
	}
	warming := r.in.Now.Sub(r.planner.started) < warmUp
	if warming {
		r.unheard = true
	}
	r.hosts[h.Num] = &hostView{Host: h, keeps: warming}
}

func (r *round) dropHost(n table.HostNum) {
	r.delta.RemoveHosts = append(r.delta.RemoveHosts, n)
	delete(r.planner.silent, n)
}

// isLongSilent reports whether the silent host's time in the placement is over.
func (r *round) isLongSilent(n table.HostNum) bool {
	since, ok := r.planner.silent[n]
	if !ok {
		r.planner.silent[n] = r.in.Now
		return false
	}
	return r.in.Now.Sub(since) >= silentHold
}

// findCutZones notes the zones of which every entry host is silent.
func (r *round) findCutZones() {
	r.cutZones = map[string]bool{}
	for _, h := range r.hosts {
		if _, ok := r.cutZones[h.Zone]; !ok {
			r.cutZones[h.Zone] = true
		}
		if h.keeps || h.fit {
			r.cutZones[h.Zone] = false
		}
	}
}

// sortedHosts returns the hosts in the order of their numbers.
func sortedHosts(hosts map[table.HostNum]*hostView) []*hostView {
	list := make([]*hostView, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *hostView) int { return cmp.Compare(a.Num, b.Num) })
	return list
}
