package place

import (
	"cmp"
	"maps"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// backendID names a backend server. One that changes its service is another
// backend server, so that no bucket ever has candidates of two services.
type backendID struct{ service, id string }

// planBackends brings the backend servers of the placement in step with their
// announcements.
func (r *round) planBackends() {
	unheard := make(map[backendID]table.Backend, len(r.in.Current.Backends))
	for _, b := range r.in.Current.Backends {
		unheard[backendID{b.Service, b.ID}] = b
	}
	heard := make(map[string]bool, len(r.in.Backends))
	for _, announced := range r.in.Backends {
		heard[announced.ID] = true
		id := backendID{announced.Service, announced.ID}
		old, known := unheard[id]
		delete(unheard, id)
		r.planBackend(announced, old, known)
	}
	silent := slices.SortedFunc(maps.Values(unheard), func(a, b table.Backend) int { return cmp.Compare(a.Num, b.Num) })
	for _, b := range silent {
		if heard[b.ID] {
			r.planGone(b) // it serves another service now
		} else {
			r.planSilent(b)
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
	want := r.wanted(announced)
	if known {
		want.Num = old.Num
		want.Entered = old.Entered
	} else {
		want.Num = table.BackendNum(r.delta.NextNum)
		r.delta.NextNum++
	}
	if startsAnew(old, want, known) {
		want.Entered = r.in.Now.UnixMilli()
	}
	m := r.keep(want, old)
	m.load = announced.Load
	m.usable = want.State == model.Ready && r.planner.config.servedIn(want.Service, want.Zone)
}

// startsAnew reports whether the backend server becomes ready after a start,
// which begins its ramp. One that only ends its drain does not.
func startsAnew(old, want table.Backend, known bool) bool {
	if want.State != model.Ready {
		return false
	}
	return !known || old.Incarnation != want.Incarnation || old.State == model.Starting || old.State == model.Gone
}

func (r *round) wanted(b model.Backend) table.Backend {
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

// planSilent handles a backend server of the placement of which no
// announcement is known. A new planner waits for one first.
func (r *round) planSilent(b table.Backend) {
	if r.in.Now.Sub(r.planner.started) >= warmUp {
		r.planGone(b)
		return
	}
	m := r.keep(b, b)
	m.usable = b.State == model.Ready && r.planner.config.servedIn(b.Service, b.Zone)
}

// planGone handles a backend server that has left, or whose announcement has
// lapsed. In a zone that is cut off it may be alive: it keeps its flows and
// takes no new ones from here.
func (r *round) planGone(b table.Backend) {
	want := b
	if !r.cutZones[b.Zone] {
		want.State = model.Gone
	}
	r.keep(want, b)
}

// keep notes the backend server as a member of the round.
func (r *round) keep(want, old table.Backend) *member {
	if want != old {
		r.delta.SetBackends = append(r.delta.SetBackends, want)
	}
	if want.State != model.Gone {
		delete(r.planner.gone, want.Num)
	} else if _, ok := r.planner.gone[want.Num]; !ok {
		r.planner.gone[want.Num] = r.in.Now
	}
	m := &member{Backend: want}
	if missing := int(want.Num) + 1 - len(r.members); missing > 0 {
		r.members = append(r.members, make([]*member, missing)...)
	}
	r.members[want.Num] = m
	r.services[want.Service] = append(r.services[want.Service], m)
	return m
}
