package place

import (
	"maps"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// member is a backend server of a service during one round.
type member struct {
	table.Backend
	usable     bool    // may take new flows
	referenced bool    // is a candidate of at least one bucket
	load       float64 // load that the backend server announced
	weight     int64   // in parts of weightScale, with ramp and correction
	assigned   int     // number of buckets whose owner it is
	quota      int     // number of buckets it should have
}

func (m *member) gone() bool { return m.State == model.Gone }

// deficit returns the number of buckets by which the member is below its quota. It
// is negative above the quota.
func (m *member) deficit() int { return m.quota - m.assigned }

// isNew reports whether the member has so few buckets that it must have become
// usable recently.
func (m *member) isNew() bool { return m.deficit() > m.quota/2 }

// bucketID identifies a bucket.
type bucketID struct {
	service string
	index   int
}

// round is the computation of one delta.
type round struct {
	planner          *Planner
	in               Input
	delta            table.Delta
	members          []*member // indexed by number, nil where there is none
	services         map[string][]*member
	hosts            map[table.HostNum]*hostView
	homes            homeChooser
	oldestRevision   uint64          // oldest revision acknowledged by a host with a valid lease
	unknownRevision  bool            // a host that may have a valid lease is not in the input during warm-up
	partitionedZones map[string]bool // whether a zone with entry hosts is taken to be partitioned
	statuses         map[bucketID]*records.BucketStatus
	keptStatuses     map[bucketID]*records.BucketStatus // reports with Kept set, by hosts that were cut off
}

func newRound(p *Planner, in Input) *round {
	r := &round{
		planner:      p,
		in:           in,
		members:      make([]*member, 0, in.Current.NextNum),
		delta:        table.Delta{Base: in.Current.Revision, NextNum: in.Current.NextNum},
		services:     map[string][]*member{},
		hosts:        map[table.HostNum]*hostView{},
		keptStatuses: map[bucketID]*records.BucketStatus{},
		statuses:     make(map[bucketID]*records.BucketStatus, len(in.Statuses)),
	}
	for i := range in.Statuses {
		status := &in.Statuses[i]
		id := bucketID{status.Service, status.Bucket}
		if status.Kept {
			r.keptStatuses[id] = status
			continue
		}
		if old := r.statuses[id]; old == nil || old.Since < status.Since {
			r.statuses[id] = status
		}
	}
	return r
}

// acked reports whether every host that may have a valid lease has acknowledged the
// revision.
func (r *round) acked(revision uint64) bool {
	return !r.unknownRevision && revision <= r.oldestRevision
}

func (r *round) member(n table.BackendNum) *member {
	if int(n) < len(r.members) {
		return r.members[n]
	}
	return nil
}

// isGone reports whether packets can no longer be delivered to the backend
// server.
func (r *round) isGone(n table.BackendNum) bool {
	m := r.member(n)
	return m == nil || m.gone()
}

// isRemovable reports whether the backend server is unknown, or has been gone for
// goneHold, so that hosts have had time to reset its flows.
func (r *round) isRemovable(n table.BackendNum) bool {
	m := r.member(n)
	return m == nil || m.gone() && r.in.Now.Sub(r.planner.goneSince[n]) >= goneHold
}

func (r *round) isUsable(n table.BackendNum) bool {
	m := r.member(n)
	return m != nil && m.usable
}

func (r *round) removeServices() {
	for _, service := range slices.Sorted(maps.Keys(r.in.Current.Buckets)) {
		if _, ok := r.planner.config.byService[service]; !ok {
			r.delta.RemoveServices = append(r.delta.RemoveServices, service)
			delete(r.planner.limits, service)
			delete(r.planner.loadStates, service)
			delete(r.planner.converged, service)
		}
	}
}

// removeBackends removes backend servers that have been gone for goneHold and are
// no longer a candidate of any bucket.
func (r *round) removeBackends() {
	for _, m := range r.members {
		if m == nil || m.referenced || !m.gone() || !r.isRemovable(m.Num) {
			continue
		}
		r.delta.RemoveBackends = append(r.delta.RemoveBackends, m.Num)
		delete(r.planner.goneSince, m.Num)
	}
}
