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

// Times and limits of the flow reports.
const (
	flowReportInterval = time.Second
	flowReportLease    = 5 * time.Second  // statuses of older reports are ignored
	countInterval      = 5 * time.Second  // least time between reports that hold only counts
	sameCountInterval  = 30 * time.Second // least time between reports whose counts are unchanged
	maxReportStatuses  = 256              // statuses in one report; others follow in later reports
)

// EntryReport is an entry host's report to the leading control host.
type EntryReport struct {
	Host        string
	Incarnation uint64
	Statuses    []records.BucketStatus
	// Flows holds, for each backend server, the TCP flows opened through the host
	// minus those closed through it. A count may be negative.
	Flows map[table.BackendNum]int64
}

// flowReports keeps the last report of each entry host. It is safe for
// concurrent use.
type flowReports struct {
	mu          sync.Mutex
	last        map[string]receivedReport
	endedCounts map[table.BackendNum]int64 // counts of former incarnations of entry hosts
	starts      map[table.BackendNum]start
}

type receivedReport struct {
	EntryReport
	receivedAt time.Time
}

// start names an incarnation of a backend server and holds the sum of the entry
// hosts' counts when it started. The sum is 0 for the first incarnation that this
// control host knows of.
type start struct {
	incarnation uint64
	sum         int64
}

func (r *flowReports) receive(report EntryReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]receivedReport{}
		r.endedCounts = map[table.BackendNum]int64{}
		r.starts = map[table.BackendNum]start{}
	}
	old := r.last[report.Host]
	if old.Incarnation > report.Incarnation {
		return
	}
	if old.Incarnation != report.Incarnation {
		add(r.endedCounts, old.Flows)
	}
	r.last[report.Host] = receivedReport{EntryReport: report, receivedAt: now}
}

// statuses returns the bucket statuses of the reports that have not expired.
func (r *flowReports) statuses(now time.Time) []records.BucketStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []records.BucketStatus
	for _, report := range r.last {
		if now.Sub(report.receivedAt) <= flowReportLease {
			list = append(list, report.Statuses...)
		}
	}
	return list
}

// openFlows returns the open flows of each backend server since its start, as
// counted by all entry hosts. It returns nil until each host whose lease has not
// expired has reported: a flow may open at one entry host and close at another, so
// the counts of only some of the hosts have no meaning.
func (r *flowReports) openFlows(hosts []place.Host, backends map[table.BackendNum]table.Backend) map[table.BackendNum]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if _, ok := r.last[h.Name]; !ok && !h.LeaseExpired {
			return nil
		}
	}
	sums := maps.Clone(r.endedCounts)
	for _, report := range r.last {
		add(sums, report.Flows)
	}
	flows := make(map[table.BackendNum]float64, len(sums))
	for n, sum := range sums {
		b, ok := backends[n]
		if !ok {
			continue
		}
		s, known := r.starts[n]
		if !known || s.incarnation != b.Incarnation {
			s = start{incarnation: b.Incarnation}
			if known {
				s.sum = sum // the flows of the former incarnation are lost
			}
			r.starts[n] = s
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

// placementService serves the RPC service Placement on the control hosts.
type placementService struct{ d *Daemon }

// Report receives an entry host's report.
func (s *placementService) Report(report EntryReport, _ *struct{}) error {
	s.d.reports.receive(report, s.d.clock.Now())
	return nil
}

// sentReport describes this host's last report that a control host received.
type sentReport struct {
	leader string
	flows  map[table.BackendNum]int64
	at     time.Time
}

// suffices reports whether report r need not be sent now: the same control host
// leads, r has no statuses, and the counts sent last are recent or unchanged.
func (s sentReport) suffices(leader string, r EntryReport, now time.Time) bool {
	if s.leader != leader || len(r.Statuses) > 0 {
		return false
	}
	age := now.Sub(s.at)
	return age < countInterval || age < sameCountInterval && maps.Equal(s.flows, r.Flows)
}

// reportFlows sends this entry host's reports to the leading control host until
// ctx ends.
func (d *Daemon) reportFlows(ctx context.Context) {
	var sent sentReport
	for ctx.Err() == nil {
		d.sleep(ctx, flowReportInterval)
		leader := d.Leader()
		report := EntryReport{
			Host:        d.Config.Name,
			Incarnation: d.incarnation,
			Statuses:    actionableStatuses(d.Replica.Table(), d.flows.report().Buckets),
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
			d.logs.Component("placement").Debugf("flow report to %s failed: %v", leader, err)
			continue
		}
		sent = sentReport{leader: leader, flows: report.Flows, at: now}
	}
}

// actionableStatuses returns the statuses that may cause a change of the placement, at
// most maxReportStatuses.
func actionableStatuses(t *table.Table, all []records.BucketStatus) []records.BucketStatus {
	var selected []records.BucketStatus
	for _, s := range all {
		svc := t.ByName[s.Service]
		if svc == nil || s.Bucket >= len(svc.Buckets) || len(selected) == maxReportStatuses {
			continue
		}
		if s.Done || s.Kept || hasNewlySyncedBackup(&svc.Buckets[s.Bucket], s.Copies) {
			selected = append(selected, s)
		}
	}
	return selected
}

// hasNewlySyncedBackup reports whether a backup holds all records of the bucket but is
// not listed as synced in the table yet.
func hasNewlySyncedBackup(b *table.Bucket, copies []records.CopyStatus) bool {
	for _, c := range copies {
		for i, n := range b.Backups {
			if n == c.Backup && !b.IsSynced(i) {
				return true
			}
		}
	}
	return false
}
