package place

import (
	"cmp"
	"maps"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// backendID identifies a backend server. The same ID in another service is a
// different backend server, so that no bucket has candidates of two services.
type backendID struct{ service, id string }

// planBackends updates the backend servers of the placement from their
// announcements.
func (r *round) planBackends() {
	unmatched := make(map[backendID]table.Backend, len(r.in.Current.Backends))
	for _, b := range r.in.Current.Backends {
		unmatched[backendID{b.Service, b.ID}] = b
	}
	announcedIDs := make(map[string]bool, len(r.in.Backends))
	for _, announced := range r.in.Backends {
		announcedIDs[announced.ID] = true
		id := backendID{announced.Service, announced.ID}
		old, known := unmatched[id]
		delete(unmatched, id)
		r.planBackend(announced, old, known)
	}
	unannounced := slices.SortedFunc(maps.Values(unmatched), func(a, b table.Backend) int { return cmp.Compare(a.Num, b.Num) })
	for _, b := range unannounced {
		if announcedIDs[b.ID] {
			r.planGone(b) // the same ID is now announced for another service
		} else {
			r.planUnannounced(b)
		}
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.Num, b.Num) })
	}
}

func (r *round) planBackend(announced model.Backend, old table.Backend, known bool) {
	if announced.State == model.Gone {
		if known {
			r.planGone(old)
		}
		return
	}
	want := r.tableBackend(announced)
	if known {
		want.Num = old.Num
		want.Entered = old.Entered
	} else {
		want.Num = table.BackendNum(r.delta.NextNum)
		r.delta.NextNum++
	}
	if startsRamp(old, want, known) {
		want.Entered = r.in.Now.UnixMilli()
	}
	m := r.addMember(want, old)
	m.load = announced.Load
	m.usable = want.State == model.Ready && r.planner.config.servedIn(want.Service, want.Zone)
}

// startsRamp reports whether the backend server becomes ready after a start or after
// being gone, which begins its ramp. The end of a drain does not begin one.
func startsRamp(old, want table.Backend, known bool) bool {
	if want.State != model.Ready {
		return false
	}
	return !known || old.Incarnation != want.Incarnation || old.State == model.Starting || old.State == model.Gone
}

// tableBackend returns the entry in the table for an announced backend server,
// without Num and Entered. A ready backend server that an operator drains by a
// setting is listed as draining.
func (r *round) tableBackend(b model.Backend) table.Backend {
	want := table.Backend{
		ID: b.ID, Service: b.Service, Zone: b.Zone, State: b.State,
		Packet: b.Packet, Request: b.Request, Stream: b.Stream,
		Slots: b.Slots, Weight: b.Weight, Incarnation: b.Incarnation,
	}
	if want.State == model.Ready && r.planner.config.backend(want).drain {
		want.State = model.Draining
	}
	return want
}

// planUnannounced handles a backend server of the placement without a known
// announcement. During warm-up the planner keeps it as it is.
func (r *round) planUnannounced(b table.Backend) {
	if r.in.Now.Sub(r.planner.started) >= warmUp {
		r.planGone(b)
		return
	}
	m := r.addMember(b, b)
	m.usable = b.State == model.Ready && r.planner.config.servedIn(b.Service, b.Zone)
}

// planGone handles a backend server that has left, or whose announcement has
// expired. In a partitioned zone it may still be alive, so it keeps its state and
// its flows, but is given no new flows.
func (r *round) planGone(b table.Backend) {
	want := b
	if !r.partitionedZones[b.Zone] {
		want.State = model.Gone
	}
	r.addMember(want, b)
}

// addMember adds the backend server to the round, and to the delta if it has
// changed.
func (r *round) addMember(want, old table.Backend) *member {
	if want != old {
		r.delta.SetBackends = append(r.delta.SetBackends, want)
	}
	if want.State != model.Gone {
		delete(r.planner.goneSince, want.Num)
	} else if _, ok := r.planner.goneSince[want.Num]; !ok {
		r.planner.goneSince[want.Num] = r.in.Now
	}
	m := &member{Backend: want}
	if missing := int(want.Num) + 1 - len(r.members); missing > 0 {
		r.members = append(r.members, make([]*member, missing)...)
	}
	r.members[want.Num] = m
	r.services[want.Service] = append(r.services[want.Service], m)
	return m
}
