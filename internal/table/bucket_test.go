package table_test

import (
	"testing"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/table"
)

// maxBucketBytes limits the memory of 460,000 buckets to less than 20 MB.
const maxBucketBytes = 40

func TestBucketIsSmall(t *testing.T) {
	qt.Assert(t, unsafe.Sizeof(table.Bucket{}) <= maxBucketBytes, qt.IsTrue)
}

func TestCandidates(t *testing.T) {
	c := qt.New(t)
	var empty table.Bucket
	c.Assert(empty.Opening() == 0 && empty.Unknown() == 0 && empty.Newest() == 0 && empty.Len() == 0, qt.IsTrue)
	c.Assert(empty.Has(0), qt.IsFalse)
	b := table.Bucket{Candidates: [table.MaxCandidates]table.BackendNum{3, 5, 9}, Target: 1, Fallback: 0, Synced: 2}
	c.Assert(b.All(), qt.DeepEquals, []table.BackendNum{3, 5, 9})
	c.Assert(b.Opening(), qt.Equals, table.BackendNum(5))
	c.Assert(b.Unknown(), qt.Equals, table.BackendNum(3))
	c.Assert(b.Newest(), qt.Equals, table.BackendNum(9))
	c.Assert(b.Has(9) && !b.Has(4), qt.IsTrue)
	c.Assert(!b.IsSynced(0) && b.IsSynced(1), qt.IsTrue)
}

func TestSinceRisesOnlyWhenRoutingChanges(t *testing.T) {
	c := qt.New(t)
	p := table.NewPlacement()
	apply := func(b table.Bucket) uint64 {
		d := table.Delta{Base: p.Revision, SetBuckets: []table.BucketUpdate{{Service: "s", Count: 1, Bucket: b}}}
		c.Assert(p.Apply(d, p.Revision+1), qt.IsTrue)
		return p.Buckets["s"][0].Since
	}
	b := table.Bucket{Candidates: [table.MaxCandidates]table.BackendNum{3, 5}, Phase: table.Prepare, Home: 7}
	c.Assert(apply(b), qt.Equals, uint64(1))
	b.Backups, b.Synced = [table.MaxBackups]table.HostNum{8}, 1
	c.Assert(apply(b), qt.Equals, uint64(1))
	b.Home = 8
	c.Assert(apply(b), qt.Equals, uint64(3))
	b.Phase, b.Target = table.Move, 1
	c.Assert(apply(b), qt.Equals, uint64(4))
}

func TestViewsDoNotChange(t *testing.T) {
	c := qt.New(t)
	p := table.NewPlacement()
	p.Apply(table.Delta{
		SetHosts:    []table.Host{{Num: 1}},
		SetBackends: []table.Backend{{Num: 2}},
		SetBuckets:  []table.BucketUpdate{{Service: "s", Count: 1, Bucket: table.StableAt(2)}},
	}, 1)
	v := p.View()
	p.Apply(table.Delta{
		Base: 1, RemoveHosts: []table.HostNum{1}, RemoveBackends: []table.BackendNum{2}, RemoveServices: []string{"s"},
	}, 2)
	c.Assert(len(v.Hosts)+len(v.Backends)+len(v.Buckets), qt.Equals, 3)
	c.Assert(len(p.Hosts)+len(p.Backends)+len(p.Buckets), qt.Equals, 0)
}
