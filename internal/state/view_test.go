package state_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// placedState returns a state with the given number of services and the given
// number of buckets per service. All buckets are assigned to backend server 1.
func placedState(services, buckets int) *state.State {
	s := state.New()
	var ops []settings.Op
	var d table.Delta
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		ops = append(ops, set("/"+name, settings.ServiceZones, `["a"]`),
			set("/"+name, settings.ServiceAddresses, fmt.Sprintf(`["10.0.%d.%d:1/tcp"]`, i/256, i%256)))
		for j := range buckets {
			d.SetBuckets = append(d.SetBuckets, table.BucketUpdate{Service: name, Index: j, Count: buckets, Bucket: table.StableAt(1)})
		}
	}
	s.Apply(1, change("a", 0, ops...))
	s.Apply(2, state.Command{Placement: &d})
	return s
}

func moveBucket(s *state.State, service string, index, count int, to table.BackendNum) {
	u := table.BucketUpdate{Service: service, Index: index, Count: count, Bucket: table.StableAt(to)}
	s.Apply(s.Revision+1, state.Command{Placement: &table.Delta{Base: s.Placement.Revision, SetBuckets: []table.BucketUpdate{u}}})
}

func TestTablesAreImmutableAndShareUnchangedParts(t *testing.T) {
	c := qt.New(t)
	s := placedState(3, 16)
	before := s.Table()
	moveBucket(s, "s1", 5, 16, 9)
	after := s.Table()
	c.Assert(before.ByName["s1"].Buckets[5].Opening(), qt.Equals, table.BackendNum(1))
	c.Assert(after.ByName["s1"].Buckets[5].Opening(), qt.Equals, table.BackendNum(9))
	c.Assert(after.ByName["s1"].Buckets[5].Since, qt.Equals, s.Revision)
	c.Assert(after.ByName["s0"], qt.Equals, before.ByName["s0"])
	for e, svc := range after.ByAddress {
		c.Assert(svc, qt.Equals, after.ByName[svc.Name], qt.Commentf("%v", e))
	}
	moveBucket(s, "s1", 5, 16, 7)
	c.Assert(after.ByName["s1"].Buckets[5].Opening(), qt.Equals, table.BackendNum(9))
	s.Apply(s.Revision+1, change("b", 1, settings.Op{Action: settings.Unset, Path: "/s2", Key: settings.ServiceAddresses}, settings.Op{Action: settings.Unset, Path: "/s2", Key: settings.ServiceZones}))
	c.Assert(s.Table().ByName, qt.HasLen, 2)
	c.Assert(s.Table().ByAddress, qt.HasLen, 2)
}

func TestRefusedDeltaChangesNothing(t *testing.T) {
	c := qt.New(t)
	s := placedState(1, 16)
	before := s.Table()
	u := table.BucketUpdate{Service: "s0", Count: 16, Bucket: table.StableAt(9)}
	r := s.Apply(3, state.Command{Placement: &table.Delta{Base: 1, SetBuckets: []table.BucketUpdate{u}}})
	c.Assert(r.Err != nil, qt.IsTrue)
	c.Assert(s.Table().ByName["s0"], qt.Equals, before.ByName["s0"])
}

// BenchmarkPublishOneBucket compares two ways to publish a change of one bucket: a
// table that shares the unchanged parts, and a copy of the whole placement.
func BenchmarkPublishOneBucket(b *testing.B) {
	const services, buckets = 1800, 256
	s := placedState(services, buckets)
	s.Table()
	b.Run("changed parts", func(b *testing.B) {
		for i := range b.N {
			moveBucket(s, "s7", i%buckets, buckets, table.BackendNum(i+1))
			s.Table()
		}
	})
	b.Run("whole copy", func(b *testing.B) {
		for i := range b.N {
			moveBucket(s, "s7", i%buckets, buckets, table.BackendNum(i+1))
			s.Placement.Clone()
		}
	})
}
