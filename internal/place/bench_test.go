package place_test

import (
	"fmt"
	"testing"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
)

// newSizedSimulation returns a simulation of the given size after its first
// placement.
func newSizedSimulation(services, backends, hosts, buckets int) *simulation {
	var ops []settings.Op
	for i := range services {
		ops = append(ops, service(fmt.Sprintf("s%04d", i), buckets)...)
	}
	sim := newSimulation(3, hosts, ops...)
	sim.noReports = true
	for i := range backends {
		name := fmt.Sprintf("s%04d", i%services)
		sim.backends = append(sim.backends, model.Backend{
			ID: fmt.Sprintf("b%05d", i), Service: name, Zone: zoneName(i % 3), State: model.Ready, Incarnation: 1,
		})
	}
	sim.run(2 * time.Second)
	for !sim.step().Empty() {
	}
	return sim
}

// BenchmarkNext measures the time to compute a delta when nothing has changed,
// when one backend server drains, and while a tenth of the buckets move.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ services, backends, hosts int }{{2, 18, 20}, {80, 450, 60}, {1800, 10000, 1400}} {
		sim := newSizedSimulation(size.services, size.backends, size.hosts, 256)
		b.Run(fmt.Sprintf("unchanged/%d", size.backends), func(b *testing.B) {
			in := sim.input()
			for b.Loop() {
				sim.planner.Next(in)
			}
		})
		b.Run(fmt.Sprintf("drain/%d", size.backends), func(b *testing.B) {
			sim.backends[0].State = model.Draining
			in := sim.input()
			moved := 0
			for b.Loop() {
				moved = len(sim.planner.Next(in).SetBuckets)
			}
			b.ReportMetric(float64(moved), "buckets")
		})
		for i := range sim.backends {
			if i%10 == 0 {
				sim.backends[i].State = model.Draining
			}
		}
		sim.run(time.Second)
		b.Run(fmt.Sprintf("a tenth moves/%d", size.backends), func(b *testing.B) {
			in := sim.input()
			for b.Loop() {
				sim.planner.Next(in)
			}
		})
	}
}
