package place

import (
	"maps"
	"slices"

	"greengagequay/internal/model"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// member is a backend server as one round sees it.
type member struct {
	table.Backend
	usable     bool    // takes new flows
	referenced bool    // is a candidate of a bucket
	load       float64 // as it claims
	weight     int64   // parts of a weight with ramp and correction
	have       int     // buckets whose new flows go or are to go to it
	quota      int     // buckets it should have
}

func (m *member) gone() bool { return m.State == model.Gone }

// deficit returns the number of buckets that the member lacks.
func (m *member) deficit() int { return m.quota - m.have }

// isNew reports whether the member has so few buckets that it must have come
// just now.
func (m *member) isNew() bool { return m.deficit() > m.quota/2 }

// bucketID names a bucket.
type bucketID struct {
	service string
	index   int
}

// round is the computation of one delta.
type round struct {
	planner  *Planner
	in       Input
	delta    table.Delta
	members  []*member // by number, nil where there is none
	services map[string][]*member
	hosts    map[table.HostNum]*hostView
	homes    homeChooser
	oldest   uint64          // oldest revision that a host may forward by
	unheard  bool            // a host of the placement may forward by any revision
	cutZones map[string]bool // zones of which no entry host is heard
	statuses map[bucketID]*records.BucketStatus
	kept     map[bucketID]*records.BucketStatus // reports of hosts that were cut off
}

func newRound(p *Planner, in Input) *round {
	r := &round{
		planner:  p,
		in:       in,
		members:  make([]*member, 0, in.Current.NextNum),
		delta:    table.Delta{Base: in.Current.Revision, NextNum: in.Current.NextNum},
		services: map[string][]*member{},
		hosts:    map[table.HostNum]*hostView{},
		kept:     map[bucketID]*records.BucketStatus{},
		statuses: make(map[bucketID]*records.BucketStatus, len(in.Statuses)),
	}
	for i := range in.Statuses {
		status := &in.Statuses[i]
		id := bucketID{status.Service, status.Bucket}
		if status.Kept {
			r.kept[id] = status
			continue
		}
		if old := r.statuses[id]; old == nil || old.Since < status.Since {
			r.statuses[id] = status
		}
	}
	return r
}

// acked reports whether every host that may forward has the revision in force.
func (r *round) acked(revision uint64) bool {
	return !r.unheard && revision <= r.oldest
}

func (r *round) member(n table.BackendNum) *member {
	if int(n) < len(r.members) {
		return r.members[n]
	}
	return nil
}

// isGone reports whether flows of the backend server cannot be delivered any
// more.
func (r *round) isGone(n table.BackendNum) bool {
	m := r.member(n)
	return m == nil || m.gone()
}

// isForgotten reports whether the flows of a lost backend server have had time
// to be reset.
func (r *round) isForgotten(n table.BackendNum) bool {
	m := r.member(n)
	return m == nil || m.gone() && r.in.Now.Sub(r.planner.gone[n]) >= goneHold
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
			delete(r.planner.balances, service)
			delete(r.planner.quiet, service)
		}
	}
}

// removeBackends removes lost backend servers of which no bucket is left.
func (r *round) removeBackends() {
	for _, m := range r.members {
		if m == nil || m.referenced || !m.gone() || !r.isForgotten(m.Num) {
			continue
		}
		r.delta.RemoveBackends = append(r.delta.RemoveBackends, m.Num)
		delete(r.planner.gone, m.Num)
	}
}
