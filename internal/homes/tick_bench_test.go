package homes

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/model"
	"greengagequay/internal/replica"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// BenchmarkTick measures one tick of a host that is the home of no unit. Each host
// ticks at least once every tickInterval.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ hosts, backends, zones int }{{20, 18, 3}, {200, 450, 6}, {1400, 10000, 22}} {
		b.Run(fmt.Sprintf("hosts=%d/backends=%d", size.hosts, size.backends), func(b *testing.B) {
			r := replica.New()
			delta := &table.Delta{NextNum: uint32(size.hosts + size.backends + 1)}
			for i := range size.hosts {
				delta.SetHosts = append(delta.SetHosts, table.Host{
					Num: table.HostNum(i + 1), Name: fmt.Sprintf("host-%d", i), Zone: fmt.Sprint(i % size.zones),
					RPC: "127.0.0.1:1", State: model.Alive, Incarnation: 1,
				})
			}
			for i := range size.backends {
				delta.SetBackends = append(delta.SetBackends, table.Backend{
					Num: table.BackendNum(size.hosts + i + 1), ID: fmt.Sprint(i), Service: "pantanir", Zone: fmt.Sprint(i % size.zones),
					State: model.Ready, Request: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 3, Incarnation: 1,
				})
			}
			data, err := state.Encode(state.Command{Placement: delta})
			qt.Assert(b, err, qt.IsNil)
			_, err = r.Apply(replica.Entry{Revision: 1, Data: data})
			qt.Assert(b, err, qt.IsNil)
			h := New(Config{
				Name: "other", Incarnation: 1, Replica: r, Clock: clock.Real{},
				StateConfirmedAt: func() time.Time { return time.Now() },
			})
			b.ResetTimer()
			for range b.N {
				h.tick()
			}
		})
	}
}
