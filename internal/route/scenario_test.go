package route_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

var (
	seeds       = flag.Int("seeds", 2, "number of seeds per scenario")
	firstSeed   = flag.Uint64("first-seed", 1, "first seed")
	simFlows    = flag.Int("flows", 600, "number of open flows")
	simHosts    = flag.Int("hosts", 6, "number of entry hosts")
	simZones    = flag.Int("zones", 3, "number of availability zones")
	turnLimit   = flag.Int("turns", 3, "number of backend servers or hosts to drain or restart one after the other, 0 for all")
	simVersions = flag.String("versions", "homes", "comma-separated list of versions to run: homes, modulo, rendezvous")
	simTable    = flag.Bool("table", false, "print a table with a row for each run")
)

func (s *sim) drain(b *simBackend) {
	b.drainedAt = s.now
	b.State = model.Draining
}

func (s *sim) ready(b *simBackend) {
	b.drainedAt = 0
	b.State = model.Ready
}

func (s *sim) crashBackend(b *simBackend) {
	b.dead, b.drainedAt = true, s.now
}

func (s *sim) crash(h *simHost) {
	h.up, h.lostAt = false, s.now
}

// restart stops a host gracefully and starts it again. The host stops once it is
// the home of no moving bucket, or after 10 s.
func (s *sim) restart(h *simHost) {
	h.leaving = true
	for range 100 {
		if s.isHomeOfNone(h) {
			break
		}
		s.run(100 * time.Millisecond)
	}
	h.up, h.lostAt = false, s.now-lossAfter
	s.run(time.Second)
	s.start(h)
	s.run(time.Second)
}

// isHomeOfNone reports whether the host is the home of no moving bucket in the
// tables of all running hosts.
func (s *sim) isHomeOfNone(h *simHost) bool {
	for _, o := range s.hosts {
		if !o.up || o.table == nil {
			continue
		}
		for _, svc := range o.table.ByName {
			for _, b := range svc.Buckets {
				if b.Moving() && b.Home == h.Num {
					return false
				}
			}
		}
	}
	return true
}

// busiest returns the host that is the home of the most buckets.
func (s *sim) busiest() *simHost {
	homes := map[table.HostNum]int{}
	for _, buckets := range s.control.state.Placement.Buckets {
		for _, b := range buckets {
			homes[b.Home]++
		}
	}
	return slices.MaxFunc(s.hosts, func(a, b *simHost) int { return homes[a.Num] - homes[b.Num] })
}

// turns returns how many of all backend servers or hosts a scenario uses.
func turns(all int) int {
	if *turnLimit == 0 || *turnLimit > all {
		return all
	}
	return *turnLimit
}

func (s *sim) drainInTurn(pause time.Duration) {
	for i := range turns(len(s.backends)) {
		b := s.backends[(i*5)%len(s.backends)]
		s.drain(b)
		s.run(pause)
		s.ready(b)
		s.run(pause / 4)
	}
}

func (s *sim) restartInTurn() {
	for i := range turns(len(s.hosts)) {
		s.restart(s.hosts[i])
	}
}

// scenarios are sequences of faults and operations. No flow may break, except
// that flows of a lost backend server and flows that a device on their path has
// forgotten are reset.
var scenarios = []struct {
	name   string
	action func(s *sim)
}{
	{"drain each backend server", func(s *sim) { s.drainInTurn(40 * time.Second) }},
	{"restart each entry host", func(s *sim) { s.restartInTurn() }},
	{"drain and restart at once", func(s *sim) {
		s.drain(s.backends[0])
		s.run(time.Second)
		s.restartInTurn()
		s.drain(s.backends[1])
		s.restartInTurn()
		s.run(40 * time.Second)
	}},
	{"tables up to 5 s late", func(s *sim) {
		s.maxTableDelay = 5 * time.Second
		s.drainInTurn(40 * time.Second)
	}},
	{"host joins during a drain", func(s *sim) {
		s.drain(s.backends[0])
		s.run(700 * time.Millisecond)
		s.addHost("host-new", "zone-1")
		s.run(40 * time.Second)
	}},
	{"loss of a home, then twice of the next", func(s *sim) {
		s.drain(s.backends[0])
		s.run(4 * time.Second)
		for range 3 {
			s.crash(s.busiest())
			s.run(lossAfter + 3*time.Second) // the new home copies its records to the new backups in this time
		}
		s.run(40 * time.Second)
	}},
	{"crash of a host that comes back at once", func(s *sim) {
		s.drain(s.backends[0])
		s.run(4 * time.Second)
		s.maxTableDelay = 3 * time.Second
		for _, h := range s.hosts[:turns(len(s.hosts))] {
			s.crash(h)
			s.run(300 * time.Millisecond)
			s.start(h)
			s.run(8 * time.Second)
		}
		s.run(40 * time.Second)
	}},
	{"loss of a backend server", func(s *sim) {
		s.crashBackend(s.backends[2])
		s.run(40 * time.Second)
	}},
	{"loss of a backend server during a drain", func(s *sim) {
		s.drain(s.backends[0])
		s.run(5 * time.Second)
		s.crashBackend(s.backends[1])
		s.run(40 * time.Second)
	}},
	{"opening packets lost and retransmitted", func(s *sim) {
		s.loss = 0.05
		s.stall = time.Hour // keeps flows that lose seven packets in a row from being reset
		s.open(len(s.flows)/2, *simZones)
		s.drainInTurn(40 * time.Second)
	}},
	{"a device on the path forgets flows", func(s *sim) {
		s.callerTimeout = 4 * time.Minute
		for i, f := range s.flows {
			f.forgotten = i%10 == 0 && f.server != nil
		}
		s.run(s.callerTimeout)
	}},
	{"zone partitioned, then healed", func(s *sim) {
		s.stall = time.Hour               // keeps flows across the partition from being reset
		s.callerTimeout = 2 * time.Minute // TCP retries for longer than the partition of 35 s
		zone := s.hosts[0].Zone
		s.partitionedZone, s.fabricPartitionedZone, s.partitionedAt = zone, zone, s.now
		s.run(5 * time.Second)
		s.open(len(s.flows)/4, *simZones)
		s.run(30 * time.Second)
		for _, f := range s.flows {
			if f.server == nil {
				s.count.unserved++
			}
		}
		s.partitionedZone = ""
		s.run(3 * time.Second)
		s.fabricPartitionedZone = ""
		s.run(40 * time.Second)
	}},
}

func runScenario(seed uint64, version string, action func(*sim)) *sim {
	s := newSim(seed, version, *simHosts, *simZones, *simFlows)
	action(s)
	s.run(100 * time.Second) // until the callers of unanswered flows have given up
	return s
}

// TestScenarios runs each scenario with each seed on simulated entry hosts and
// checks that no flow breaks. With -versions it also runs the naive versions,
// whose broken flows are counted but are not test failures.
func TestScenarios(t *testing.T) {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if *simTable {
		fmt.Fprintln(out, "SCENARIO\tVERSION\tSEED\tOPENED\tBROKEN\tSILENT\tRESET\tSTALLED\tUNSERVED\tMISDELIVERED\tNEW ON DRAINING\tMAX/MEAN\tRELAYED\tCONTROL B/S/HOST")
		defer out.Flush()
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			if !*simTable {
				t.Parallel()
			}
			for i := range *seeds {
				for _, version := range strings.Split(*simVersions, ",") {
					checkScenario(t, out, sc.name, version, *firstSeed+uint64(i), sc.action)
				}
			}
		})
	}
}

// imbalance returns the ratio of the largest to the mean number of open flows of
// the ready backend servers of the first service.
func (s *sim) imbalance() float64 {
	most, total, n := 0, 0, 0
	for _, b := range s.backends {
		if b.Service == simServices[0].name && b.State == model.Ready && !b.dead {
			most = max(most, len(b.accepted))
			total += len(b.accepted)
			n++
		}
	}
	return float64(most) * float64(n) / float64(total)
}

func checkScenario(t *testing.T, out *tabwriter.Writer, name, version string, seed uint64, action func(*sim)) {
	s := runScenario(seed, version, action)
	c := s.count
	if !s.isNaive() && c.broken+c.silent+c.misdelivered+c.openedOnDraining > 0 {
		t.Errorf("%s, seed %d: %d flows broken, %d silent, %d packets misdelivered, %d flows opened on a draining backend server", version, seed, c.broken, c.silent, c.misdelivered, c.openedOnDraining)
	}
	if *simTable {
		rate := float64(c.controlBytes) / s.now.Seconds() / float64(len(s.hosts))
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f%%\t%.0f\n", name, version, seed, c.opened, c.broken, c.silent, c.reset, c.stalled, c.unserved, c.misdelivered, c.openedOnDraining, s.imbalance(), 100*float64(c.relays)/float64(c.packets), rate)
	}
}
