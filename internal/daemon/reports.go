package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"greengagequay/internal/place"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

// Reports of entry hosts about flows.
const (
	flowReportInterval = time.Second
	flowReportLease    = 5 * time.Second // statuses of an older report do not count
	countInterval      = 5 * time.Second // between reports of counts alone
	sameCountInterval  = 30 * time.Second
	maxReportStatuses  = 256 // buckets in one report, the others follow
)

// EntryReport is what an entry host tells the leading control host.
type EntryReport struct {
	Host        string
	Incarnation uint64
	Statuses    []records.BucketStatus
	Flows       map[table.BackendNum]int64
}

// flowReports keeps the last report of each entry host. It is safe for
// concurrent use.
type flowReports struct {
	mu    sync.Mutex
	last  map[string]datedReport
	ended map[table.BackendNum]int64 // counts of entry hosts that have ended
	began map[table.BackendNum]start
}

type datedReport struct {
	EntryReport
	at time.Time
}

// start is the sum of counts at which a backend server started.
type start struct {
	incarnation uint64
	sum         int64
}

func (r *flowReports) take(report EntryReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]datedReport{}
		r.ended = map[table.BackendNum]int64{}
		r.began = map[table.BackendNum]start{}
	}
	old := r.last[report.Host]
	if old.Incarnation > report.Incarnation {
		return
	}
	if old.Incarnation != report.Incarnation {
		add(r.ended, old.Flows)
	}
	r.last[report.Host] = datedReport{EntryReport: report, at: now}
}

// statuses returns what homes reported of late about their buckets.
func (r *flowReports) statuses(now time.Time) []records.BucketStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []records.BucketStatus
	for _, report := range r.last {
		if now.Sub(report.at) <= flowReportLease {
			list = append(list, report.Statuses...)
		}
	}
	return list
}

// openFlows returns the open flows of each backend server since its start, as
// counted by all entry hosts. It returns nil until each of the hosts has
// reported, since a part of the counts has no meaning.
func (r *flowReports) openFlows(hosts []place.Host, backends map[table.BackendNum]table.Backend) map[table.BackendNum]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if _, ok := r.last[h.Name]; !ok && !h.LeaseExpired {
			return nil
		}
	}
	sums := maps.Clone(r.ended)
	for _, report := range r.last {
		add(sums, report.Flows)
	}
	flows := make(map[table.BackendNum]float64, len(sums))
	for n, sum := range sums {
		b, ok := backends[n]
		if !ok {
			continue
		}
		s, known := r.began[n]
		if !known || s.incarnation != b.Incarnation {
			s = start{incarnation: b.Incarnation}
			if known {
				s.sum = sum // the flows of the process before are lost
			}
			r.began[n] = s
		}
		flows[n] = max(0, float64(sum-s.sum))
	}
	return flows
}

func add(sums, counts map[table.BackendNum]int64) {
	for n, count := range counts {
		sums[n] += count
	}
}

// placementService takes reports on the control hosts.
type placementService struct{ d *Daemon }

// Report takes an entry host's report about flows.
func (s *placementService) Report(report EntryReport, _ *struct{}) error {
	s.d.reports.take(report, s.d.clock.Now())
	return nil
}

// sentReport is the last report that a control host took from this one.
type sentReport struct {
	leader string
	flows  map[table.BackendNum]int64
	at     time.Time
}

// suffices reports whether the control host needs no other report now: it has
// nothing to decide about buckets, and its counts are the same or recent.
func (s sentReport) suffices(leader string, r EntryReport, now time.Time) bool {
	if s.leader != leader || len(r.Statuses) > 0 {
		return false
	}
	age := now.Sub(s.at)
	return age < countInterval || age < sameCountInterval && maps.Equal(s.flows, r.Flows)
}

// reportFlows tells the leading control host what this entry host knows about
// flows.
func (d *Daemon) reportFlows(ctx context.Context) {
	var sent sentReport
	for ctx.Err() == nil {
		d.pause(ctx, flowReportInterval)
		leader := d.Leader()
		report := EntryReport{
			Host:        d.Config.Name,
			Incarnation: d.incarnation,
			Statuses:    worthTelling(d.Replica.Table(), d.flows.report().Buckets),
			Flows:       d.flows.forwarder.OpenFlows(),
		}
		now := d.clock.Now()
		if leader == "" || sent.suffices(leader, report, now) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.client.Call(callCtx, leader, "Placement.Report", report, &struct{}{})
		cancel()
		if err != nil {
			d.logs.Part("placement").Debugf("report to %s: %v", leader, err)
			continue
		}
		sent = sentReport{leader: leader, flows: report.Flows, at: now}
	}
}

// worthTelling returns the statuses from which a change of the placement may
// follow.
func worthTelling(t *table.Table, all []records.BucketStatus) []records.BucketStatus {
	var kept []records.BucketStatus
	for _, s := range all {
		svc := t.ByName[s.Service]
		if svc == nil || s.Bucket >= len(svc.Buckets) || len(kept) == maxReportStatuses {
			continue
		}
		if s.Done || s.Kept || hasNewCopy(&svc.Buckets[s.Bucket], s.Copies) {
			kept = append(kept, s)
		}
	}
	return kept
}

// hasNewCopy reports whether a backup holds all records that is not yet known
// to.
func hasNewCopy(b *table.Bucket, copies []records.CopyStatus) bool {
	for _, c := range copies {
		for i, n := range b.Backups {
			if n == c.Backup && !b.IsSynced(i) {
				return true
			}
		}
	}
	return false
}
