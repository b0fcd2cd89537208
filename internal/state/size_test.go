package state_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// maxUpdateBytes limits the encoded size of one changed bucket, so that a drain
// that changes each of 73 buckets four times takes less than 20 KB in the log.
const maxUpdateBytes = 64

func TestChangedBucketIsSmallWhenStored(t *testing.T) {
	c := qt.New(t)
	bucket := table.Bucket{
		Candidates: [table.MaxCandidates]table.BackendNum{70000, 70001}, Home: 1400,
		Backups: [table.MaxBackups]table.HostNum{1401, 1402}, Since: 1 << 33, Phase: table.Move, Target: 1, Synced: 3,
	}
	d := &table.Delta{SetBuckets: []table.BucketUpdate{{Service: "yard-desk", Index: 1000, Count: 1024, Bucket: bucket}}}
	empty, err := state.Encode(state.Command{Placement: &table.Delta{}})
	c.Assert(err, qt.IsNil)
	data, err := state.Encode(state.Command{Placement: d})
	c.Assert(err, qt.IsNil)
	c.Assert(len(data)-len(empty) <= maxUpdateBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)-len(empty)))
	decoded, err := state.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Placement.SetBuckets[0].Bucket, qt.Equals, bucket)
}
