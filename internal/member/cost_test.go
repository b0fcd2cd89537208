package member_test

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
)

var (
	fleet  = flag.Bool("fleet", false, "measure 22 zones of 64 hosts too")
	hour   = flag.Bool("hour", false, "simulate a partition and packet loss for an hour instead of a minute")
	trials = flag.Int("trials", 5, "hosts that die in each measurement")
)

// Limits of the measured costs per host.
const (
	maxBytes  = 6000 // bytes per second and host
	maxCPU    = 0.01 // share of a core
	maxMemory = 128 << 20
	maxDetect = 3 * time.Second
)

// TestTable prints the bytes, processor time and memory of one host and the time to
// detect a death, next to the bytes of the baseline. It checks the costs of
// the host against the limits.
func TestTable(t *testing.T) {
	c := qt.New(t)
	sizes := [][2]int{{3, 7}, {8, 8}}
	if *fleet {
		sizes = append(sizes, [2]int{22, 64})
	}
	t.Logf("%6s %6s | %10s %10s %9s %9s %9s | %10s", "hosts", "zones", "mean B/s", "worst B/s", "CPU", "memory", "detect", "base B/s")
	for _, size := range sizes {
		m := measure(c, size[0], size[1])
		n := size[0] * size[1]
		random := rand.New(rand.NewPCG(3, 3))
		v, _, _ := runBaseline(n, 0.02, 5*time.Second, func() bool { return random.Float64() < 0.02 })
		t.Logf("%6d %6d | %10.0f %10.0f %8.3f%% %7dKB %9v | %10.0f", n, size[0], m.mean, m.worst, 100*m.cpu, m.memory>>10, m.detect, float64(v.bytes[0])/5)
		c.Check(m.worst <= maxBytes, qt.IsTrue)
		c.Check(m.cpu <= maxCPU, qt.IsTrue)
		c.Check(m.memory <= maxMemory, qt.IsTrue)
		c.Check(m.detect <= maxDetect, qt.IsTrue)
	}
}

type costs struct {
	mean, worst float64 // bytes per second, sent and received
	cpu         float64 // share of a core
	memory      uint64  // bytes per host
	detect      time.Duration
}

func measure(c *qt.C, zones, perZone int) (m costs) {
	before := heapInUse()
	nw := joined(c, 4, zones, perZone)
	nw.lossRate = 0.02
	m.memory = (heapInUse() - before) / uint64(len(nw.nodes))
	nw.nodes[0].core.SetLeading(true)
	nw.run(5 * time.Second)
	for _, n := range nw.nodes {
		n.bytes = 0
	}
	start := time.Now()
	const steady = 10
	for i := range steady {
		for _, n := range nw.nodes {
			n.core.SetRevision(uint64(10 * i)) // the revision rises by ten each second
		}
		nw.run(time.Second)
	}
	m.cpu = time.Since(start).Seconds() / steady / float64(len(nw.nodes))
	for _, n := range nw.nodes {
		m.mean += float64(n.bytes) / steady / float64(len(nw.nodes))
		m.worst = max(m.worst, float64(n.bytes)/steady)
	}
	m.detect = detect(nw, *trials)
	return m
}

// detect returns the 99th percentile of the time until a host detects a death in
// its zone.
func detect(nw *network, trials int) time.Duration {
	var all []time.Duration
	for i := range trials {
		dead := nw.nodes[(7*i+1)%len(nw.nodes)]
		dead.down = true
		start := nw.now
		known := map[*node]bool{}
		for range 100 {
			nw.run(50 * time.Millisecond)
			for _, n := range nw.nodes {
				if !n.down && !known[n] && n.self.Zone == dead.self.Zone && n.stateOf(dead.self.Name) == model.Dead {
					known[n] = true
					all = append(all, nw.now.Sub(start))
				}
			}
			if nw.allSee(dead.self.Name, dead.self.Zone, model.Dead) {
				break
			}
		}
		nw.restart(dead)
		nw.run(5 * time.Second)
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

func heapInUse() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
