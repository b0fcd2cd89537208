package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/records"
	"greengagequay/internal/table"
)

func report(host string, incarnation uint64, flows ...int64) EntryReport {
	r := EntryReport{Host: host, Incarnation: incarnation, Flows: map[table.BackendNum]int64{}}
	for i, n := range flows {
		r.Flows[table.BackendNum(i+1)] = n
	}
	return r
}

func TestCountsOfEntryHostsAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	backends := map[table.BackendNum]table.Backend{1: {Num: 1, Incarnation: 1}, 2: {Num: 2, Incarnation: 1}}
	hosts := []place.Host{{Host: model.Host{Name: "a"}}, {Host: model.Host{Name: "b"}}, {Host: model.Host{Name: "c"}, LeaseExpired: true}}
	var r flowReports
	r.receive(report("a", 1, 10, 5), now)
	c.Assert(r.openFlows(hosts, backends), qt.IsNil, qt.Commentf("b has not reported"))
	r.receive(report("b", 1, -3, 2), now)
	c.Assert(r.openFlows(hosts, backends), qt.DeepEquals, map[table.BackendNum]float64{1: 7, 2: 7})

	r.receive(report("a", 2, 1), now) // a restarted; the counts of its former incarnation stay in the sum
	c.Assert(r.openFlows(hosts, backends), qt.DeepEquals, map[table.BackendNum]float64{1: 8, 2: 7})
	r.receive(report("a", 1, 100, 100), now) // a late report of the former incarnation is ignored
	c.Assert(r.openFlows(hosts, backends), qt.DeepEquals, map[table.BackendNum]float64{1: 8, 2: 7})

	backends[1] = table.Backend{Num: 1, Incarnation: 2} // the backend server restarted and lost its flows
	c.Assert(r.openFlows(hosts, backends), qt.DeepEquals, map[table.BackendNum]float64{1: 0, 2: 7})
	r.receive(report("b", 1, 1, 2), now)
	c.Assert(r.openFlows(hosts, backends), qt.DeepEquals, map[table.BackendNum]float64{1: 4, 2: 7})
}

func TestExpiredStatusesAreIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var r flowReports
	r.receive(EntryReport{Host: "a", Statuses: []records.BucketStatus{{Service: "s"}}}, now)
	c.Assert(r.statuses(now.Add(flowReportLease)), qt.HasLen, 1)
	c.Assert(r.statuses(now.Add(flowReportLease+1)), qt.HasLen, 0)
}

func TestOnlyActionableStatusesAreReported(t *testing.T) {
	c := qt.New(t)
	bucket := table.Bucket{Phase: table.Move, Backups: [table.MaxBackups]table.HostNum{7, 8}, Synced: 1}
	tab := &table.Table{ByName: map[string]*table.Service{"s": {Buckets: []table.Bucket{bucket, bucket, bucket}}}}
	copied := func(n table.HostNum) []records.CopyStatus { return []records.CopyStatus{{Backup: n}} }
	got := actionableStatuses(tab, []records.BucketStatus{
		{Service: "s", Bucket: 0, Copies: copied(7)},
		{Service: "s", Bucket: 1, Copies: copied(8)},
		{Service: "s", Bucket: 2, Done: true},
		{Service: "s", Bucket: 3, Done: true},
		{Service: "gone", Done: true},
	})
	c.Assert(got, qt.HasLen, 2)
}

func TestUnchangedReportsAreSkipped(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	same, other := report("a", 1, 5), report("a", 1, 6)
	sent := sentReport{leader: "l", flows: same.Flows, at: now}
	c.Assert(sent.suffices("l", other, now.Add(countInterval-1)), qt.IsTrue)
	c.Assert(sent.suffices("l", other, now.Add(countInterval)), qt.IsFalse)
	c.Assert(sent.suffices("l", same, now.Add(sameCountInterval-1)), qt.IsTrue)
	c.Assert(sent.suffices("l", same, now.Add(sameCountInterval)), qt.IsFalse)
	c.Assert(sent.suffices("another", same, now), qt.IsFalse)
	same.Statuses = []records.BucketStatus{{Done: true}}
	c.Assert(sent.suffices("l", same, now), qt.IsFalse)
}
