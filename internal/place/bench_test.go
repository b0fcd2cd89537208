package place_test

import (
	"fmt"
	"testing"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
)

// sized returns a world of the given size, after its first placement.
func sized(services, backends, hosts, buckets int) *world {
	var ops []settings.Op
	for i := range services {
		ops = append(ops, service(fmt.Sprintf("s%04d", i), buckets)...)
	}
	w := newWorld(3, hosts, ops...)
	w.mute = true
	for i := range backends {
		name := fmt.Sprintf("s%04d", i%services)
		w.backends = append(w.backends, model.Backend{
			ID: fmt.Sprintf("b%05d", i), Service: name, Zone: zoneName(i % 3), State: model.Ready, Incarnation: 1,
		})
	}
	w.run(2 * time.Second)
	for !w.step().Empty() {
	}
	return w
}

// BenchmarkNext gives the time to compute a delta when nothing has changed,
// when one backend server drains, and while a tenth of the buckets move.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ services, backends, hosts int }{{2, 18, 20}, {80, 450, 60}, {1800, 10000, 1400}} {
		w := sized(size.services, size.backends, size.hosts, 256)
		b.Run(fmt.Sprintf("unchanged/%d", size.backends), func(b *testing.B) {
			in := w.input()
			for b.Loop() {
				w.planner.Next(in)
			}
		})
		b.Run(fmt.Sprintf("drain/%d", size.backends), func(b *testing.B) {
			w.backends[0].State = model.Draining
			in := w.input()
			moved := 0
			for b.Loop() {
				moved = len(w.planner.Next(in).SetBuckets)
			}
			b.ReportMetric(float64(moved), "buckets")
		})
		for i := range w.backends {
			if i%10 == 0 {
				w.backends[i].State = model.Draining
			}
		}
		w.run(time.Second)
		b.Run(fmt.Sprintf("a tenth moves/%d", size.backends), func(b *testing.B) {
			in := w.input()
			for b.Loop() {
				w.planner.Next(in)
			}
		})
	}
}
