package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"greengagequay/internal/flow"
	"greengagequay/internal/route"
	"greengagequay/internal/table"
)

// benchFlowCount is the number of flows in the benchmarks.
const benchFlowCount = 1 << 12

// benchTable returns a table with one service, whose buckets are all in the given
// phase and have host 1 as their home.
func benchTable(phase table.Phase) *table.Table {
	svc := &table.Service{Name: "pantanir", Mask: simBuckets - 1, Buckets: make([]table.Bucket, simBuckets)}
	t := &table.Table{
		Revision: 1, Seed: 7, ByName: map[string]*table.Service{"pantanir": svc},
		ByAddress: map[table.Endpoint]*table.Service{{Addr: simServices[0].address.Addr(), Port: 443, Proto: 6}: svc},
		Backends:  map[table.BackendNum]table.Backend{},
		Hosts:     map[table.HostNum]table.Host{1: {Num: 1, Name: "host"}},
	}
	for n := table.BackendNum(1); n <= 18; n++ {
		t.Backends[n] = table.Backend{Num: n, Service: "pantanir", State: "ready"}
	}
	for i := range svc.Buckets {
		first := table.BackendNum(i%14 + 1)
		svc.Buckets[i] = table.Bucket{Candidates: [4]table.BackendNum{first, first + 1}, Phase: phase, Home: 1}
	}
	return t
}

func benchFlows() []flow.Packet {
	r := rand.New(rand.NewPCG(1, 1))
	packets := make([]flow.Packet, benchFlowCount)
	for i := range packets {
		packets[i] = flow.Packet{
			Src: netip.AddrFrom4([4]byte{10, byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32())}), SrcPort: uint16(r.Uint32()),
			Dst: simServices[0].address.Addr(), DstPort: 443, Proto: 6, ACK: true,
		}
	}
	return packets
}

// decisionMethods returns the methods of deciding on a packet that the benchmarks
// compare. Each returns the number of a backend server.
func decisionMethods() []struct {
	name   string
	decide func(p *flow.Packet) table.BackendNum
} {
	t := benchTable(table.Stable)
	router := route.NewRouter(1 << 20)
	stable := route.NewView(t, "host", router)
	moving := route.NewView(benchTable(table.Move), "host", router)
	packets := benchFlows()
	local := map[uint64]table.BackendNum{}
	var lock sync.Mutex
	for i := range packets {
		router.Route(1, moving, &packets[i], &route.Header{}) // records the flow
		router.Route(1, moving, &packets[i], &route.Header{})
	}
	ready := naiveReady(t, "pantanir")
	floor := make([]table.BackendNum, simBuckets)
	for i := range floor {
		floor[i] = t.ByName["pantanir"].Buckets[i].Unknown()
	}
	return []struct {
		name   string
		decide func(p *flow.Packet) table.BackendNum
	}{
		{"floor", func(p *flow.Packet) table.BackendNum { return floor[p.Hash(7)&(simBuckets-1)] }},
		{"stateless", func(p *flow.Packet) table.BackendNum { return router.Route(1, stable, p, &route.Header{}).Backend }},
		{"recorded", func(p *flow.Packet) table.BackendNum { return router.Route(1, moving, p, &route.Header{}).Backend }},
		{"modulo", func(p *flow.Packet) table.BackendNum {
			if t.ByAddress[p.Endpoint()] == nil {
				return 0
			}
			return ready[p.Hash(7)%uint64(len(ready))]
		}},
		{"rendezvous", func(p *flow.Packet) table.BackendNum {
			if t.ByAddress[p.Endpoint()] == nil {
				return 0
			}
			lock.Lock() // the threads of a host share the flow table
			defer lock.Unlock()
			return rendezvousLocal(local, ready, p.Hash(7), func(n table.BackendNum) bool { _, ok := t.Backends[n]; return ok })
		}},
	}
}

// sink keeps the compiler from removing the benchmarked calls.
var sink table.BackendNum

// BenchmarkDecision runs all methods in each iteration. It reports for each
// method the median ratio of its time to that of the first method, which looks
// the bucket up in an array.
func BenchmarkDecision(b *testing.B) {
	packets, methods := benchFlows(), decisionMethods()
	ratios := make([][]float64, len(methods))
	for b.Loop() {
		var floor float64
		for m, method := range methods {
			start := time.Now()
			for i := range packets {
				sink = method.decide(&packets[i])
			}
			spent := float64(time.Since(start))
			if m == 0 {
				floor = spent
			}
			ratios[m] = append(ratios[m], spent/floor)
		}
	}
	for m, method := range methods {
		slices.Sort(ratios[m])
		b.ReportMetric(ratios[m][len(ratios[m])/2], method.name+"/floor")
	}
}

// BenchmarkOne reports the time and allocations of one decision.
func BenchmarkOne(b *testing.B) {
	packets := benchFlows()
	for _, method := range decisionMethods() {
		b.Run(method.name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				sink = method.decide(&packets[i&(benchFlowCount-1)])
				i++
			}
		})
	}
}

// BenchmarkCores reports the rate of decisions on recorded flows and in stable
// buckets when several cores run at once.
func BenchmarkCores(b *testing.B) {
	packets := benchFlows()
	for _, method := range decisionMethods()[1:3] {
		for _, cores := range []int{1, 4, 8} {
			b.Run(fmt.Sprint(method.name, "/", cores), func(b *testing.B) { onCores(b, cores, packets, method.decide) })
		}
	}
}

func onCores(b *testing.B, cores int, packets []flow.Packet, decide func(*flow.Packet) table.BackendNum) {
	const round = 1 << 16
	for b.Loop() {
		done := make(chan table.BackendNum, cores)
		for c := range cores {
			go func() {
				var n table.BackendNum
				for i := range round {
					n += decide(&packets[(i+c*511)&(benchFlowCount-1)])
				}
				done <- n
			}()
		}
		for range cores {
			sink = <-done
		}
	}
	b.ReportMetric(float64(round)*float64(cores)*float64(b.N)/b.Elapsed().Seconds()/1e6, "Mdecisions/s")
}

// TestDecisionAllocatesNothing checks that decisions in stable buckets and on
// recorded flows do not allocate.
func TestDecisionAllocatesNothing(t *testing.T) {
	packets := benchFlows()
	for _, method := range decisionMethods()[:3] {
		if n := testing.AllocsPerRun(1000, func() { sink = method.decide(&packets[0]) }); n != 0 {
			t.Errorf("%s: %v allocations", method.name, n)
		}
	}
}

// sizedTable returns a table with the given numbers of services and backend
// servers, and simBuckets buckets per service.
func sizedTable(services, backends int) *table.Table {
	t := &table.Table{
		ByName: map[string]*table.Service{}, ByAddress: map[table.Endpoint]*table.Service{},
		Backends: map[table.BackendNum]table.Backend{}, Hosts: map[table.HostNum]table.Host{1: {Num: 1, Name: "host"}},
	}
	for i := range services {
		svc := &table.Service{Name: fmt.Sprint("service-", i), Mask: simBuckets - 1, Buckets: make([]table.Bucket, simBuckets)}
		t.ByName[svc.Name] = svc
		t.ByAddress[table.Endpoint{Addr: netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)}), Port: 443, Proto: 6}] = svc
	}
	for i := range backends {
		n := table.BackendNum(i + 1)
		t.Backends[n] = table.Backend{Num: n, Service: fmt.Sprint("service-", i%services), State: "ready"}
	}
	return t
}

// BenchmarkAdopt reports the time that a host takes to apply a new table: to
// build the view and to find the buckets whose home it is.
func BenchmarkAdopt(b *testing.B) {
	for _, size := range []struct{ services, backends int }{{2, 18}, {81, 450}, {1800, 10000}} {
		t := sizedTable(size.services, size.backends)
		r := route.NewRouter(0)
		replicator := route.NewReplicator(r, func(string) time.Duration { return time.Hour })
		b.Run(fmt.Sprint(size.backends), func(b *testing.B) {
			for b.Loop() {
				replicator.Step(time.Unix(0, 0), route.NewView(t, "host", r))
			}
		})
	}
}
