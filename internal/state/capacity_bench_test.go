package state

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// fleetSize is the number of hosts, backend servers and services of a fleet.
type fleetSize struct{ hosts, backends, services int }

var sizes = []fleetSize{{20, 18, 2}, {200, 450, 80}, {1400, 10000, 1800}}

// BenchmarkFleetState measures the memory of the state with its table, the
// size of a snapshot, and the time to apply a change of one bucket and build
// the new table.
func BenchmarkFleetState(b *testing.B) {
	for _, sz := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/backends=%d/services=%d", sz.hosts, sz.backends, sz.services), func(b *testing.B) {
			before := heapAlloc()
			s := fleetState(b, sz)
			t := s.Table()
			used := heapAlloc() - before
			snap, err := s.Snapshot()
			qt.Assert(b, err, qt.IsNil)
			b.ResetTimer()
			for i := range b.N {
				move := table.StableAt(table.BackendNum(1 + i%2))
				s.Apply(s.Revision+1, Command{Placement: &table.Delta{
					Base:       s.Placement.Revision,
					SetBuckets: []table.BucketUpdate{{Service: serviceName(0), Index: i % 256, Count: 256, Bucket: move}},
				}})
				t = s.Table()
			}
			b.StopTimer()
			b.ReportMetric(float64(used)/1e6, "MB")
			b.ReportMetric(float64(len(snap))/1e6, "snapshot-MB")
			runtime.KeepAlive(t)
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// fleetState returns a state of the given size in which each bucket is assigned
// to a backend server.
func fleetState(b *testing.B, sz fleetSize) *State {
	s := New()
	var ops []settings.Op
	for i := range sz.services {
		path := settings.Path(serviceName(i))
		ops = append(ops,
			settings.Op{Action: settings.Set, Path: path, Key: settings.ServiceZones, Value: `["zone-0","zone-1"]`},
			settings.Op{Action: settings.Set, Path: path, Key: settings.ServiceAddresses, Value: fmt.Sprintf(`["10.%d.%d.1:443/tcp"]`, i/256, i%256)})
	}
	result := s.Apply(1, Command{Change: &Change{ID: "services", Ops: ops}})
	qt.Assert(b, result.Err == nil, qt.IsTrue)
	delta := &table.Delta{Base: s.Placement.Revision, NextNum: uint32(sz.hosts + sz.backends + 1)}
	for i := range sz.backends {
		delta.SetBackends = append(delta.SetBackends, table.Backend{
			Num: table.BackendNum(i + 1), ID: fmt.Sprintf("backend-%d", i), Service: serviceName(i % sz.services), Zone: "zone-0",
			State: model.Ready, Packet: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 3,
		})
	}
	for i := range sz.hosts {
		delta.SetHosts = append(delta.SetHosts, table.Host{Num: table.HostNum(sz.backends + i + 1), Name: fmt.Sprintf("host-%d", i), Zone: "zone-0", RPC: "127.0.0.1:1"})
	}
	for i := range sz.services {
		for j := range 256 {
			backend := i + sz.services*(j%max(1, sz.backends/sz.services))
			delta.SetBuckets = append(delta.SetBuckets, table.BucketUpdate{
				Service: serviceName(i), Index: j, Count: 256, Bucket: table.StableAt(table.BackendNum(backend + 1)),
			})
		}
	}
	qt.Assert(b, s.Apply(2, Command{Placement: delta}).Err == nil, qt.IsTrue)
	return s
}
