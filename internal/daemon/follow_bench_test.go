package daemon

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/replica"
	"greengagequay/internal/rpc"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
)

// BenchmarkPull measures one pull of the state over RPC by a host that is 0, 1 or
// 10 changes behind. bytes/op counts both directions.
func BenchmarkPull(b *testing.B) {
	for _, behind := range []uint64{0, 1, 10} {
		b.Run(fmt.Sprintf("behind=%d", behind), func(b *testing.B) {
			d := &Daemon{Replica: replica.New(), clock: clock.Real{}}
			for i := range uint64(20) {
				applyChange(b, d.Replica, i)
			}
			var bytes atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			server := rpc.NewServer(l, new(atomic.Int64))
			qt.Assert(b, server.Register("State", &stateService{d: d}), qt.IsNil)
			go server.Serve()
			defer server.Close()
			client := rpc.NewClient(&bytes, nil)
			defer client.Close()
			args := replica.PullArgs{After: d.Replica.Revision() - behind}
			pull := func() {
				var batch replica.Batch
				if err := client.Call(context.Background(), l.Addr().String(), "State.Pull", args, &batch); err != nil {
					b.Fatal(err)
				}
			}
			pull() // opens the connection
			bytes.Store(0)
			b.ResetTimer()
			for range b.N {
				pull()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}

func applyChange(b *testing.B, r *replica.Replica, i uint64) {
	data, err := state.Encode(state.Command{Change: &state.Change{
		ID: fmt.Sprintf("change-%d", i), Author: "operator", Message: "set the queue",
		Ops: []settings.Op{{Action: settings.Set, Path: "/", Key: settings.RequestQueue, Value: fmt.Sprint(i)}},
	}})
	qt.Assert(b, err, qt.IsNil)
	_, err = r.Apply(replica.Entry{Revision: i + 1, Data: data})
	qt.Assert(b, err, qt.IsNil)
}
