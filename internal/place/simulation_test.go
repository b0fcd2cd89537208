package place_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/records"
	"greengagequay/internal/settings"
	"greengagequay/internal/state"
	"greengagequay/internal/table"
)

// TestMain sets a fixed seed for property tests unless a flag sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// simulation runs a planner with simulated hosts and backend servers. Hosts
// acknowledge each revision at once and homes report at once, unless lagging or
// noReports is set.
type simulation struct {
	now       time.Time
	state     *state.State
	planner   *place.Planner
	hosts     []place.Host
	backends  []model.Backend
	flows     map[table.BackendNum]float64
	lagging   map[string]bool // hosts that acknowledge nothing
	noReports bool            // homes report nothing
	homesDone bool            // homes report that they have completed the current phase
	last      table.Delta
	tick      time.Duration
}

const tick = 100 * time.Millisecond

func newSimulation(zones, hosts int, ops ...settings.Op) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), state: state.New(), planner: place.NewPlanner(), lagging: map[string]bool{}, tick: tick}
	for i := range hosts {
		sim.hosts = append(sim.hosts, place.Host{Host: model.Host{
			Name: fmt.Sprintf("h%02d", i), Zone: zoneName(i % zones), State: model.Alive, Incarnation: 1,
		}})
	}
	sim.changeSettings(ops...)
	return sim
}

func zoneName(i int) string { return string(rune('a' + i)) }

func set(path, key, value string) settings.Op {
	return settings.Op{Action: settings.Set, Path: path, Key: key, Value: value}
}

// service returns the settings of a service in zones a, b and c.
func service(name string, buckets int) []settings.Op {
	return []settings.Op{
		set("/"+name, settings.ServiceZones, `["a","b","c"]`),
		set("/"+name, settings.FlowBuckets, fmt.Sprint(buckets)),
		set("/"+name, settings.BalanceMoveRate, "10000"),
	}
}

func (sim *simulation) changeSettings(ops ...settings.Op) {
	r := sim.state.Apply(sim.state.Revision+1, state.Command{Change: &state.Change{ID: fmt.Sprint(sim.state.Revision), Ops: ops}})
	if r.Err != nil {
		panic(r.Err)
	}
}

// add announces n ready backend servers, spread over zones a, b and c.
func (sim *simulation) add(service string, n int) {
	for i := range n {
		sim.backends = append(sim.backends, model.Backend{
			ID: fmt.Sprintf("%s-%02d", service, i), Service: service, Zone: zoneName(i % 3), State: model.Ready, Incarnation: 1,
			Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
}

func (sim *simulation) input() place.Input {
	in := place.Input{
		Now: sim.now, Tree: sim.state.Tree, TreeRevision: sim.state.SettingsRevision,
		Current: sim.state.Placement.View(), Hosts: sim.hosts, Backends: sim.backends, Flows: sim.flows,
	}
	if !sim.noReports {
		in.Statuses = sim.statuses()
	}
	return in
}

// statuses returns the reports of all homes that are alive. They report on the
// moving buckets whose backups are not all synced. With homesDone they report on
// all moving buckets.
func (sim *simulation) statuses() []records.BucketStatus {
	var list []records.BucketStatus
	for name, buckets := range sim.state.Placement.Buckets {
		for i := range buckets {
			b := &buckets[i]
			if !b.Moving() || !sim.homesDone && b.Synced == 3 || !sim.alive(b.Home) {
				continue
			}
			s := records.BucketStatus{Service: name, Bucket: i, Since: b.Since, Home: b.Home, Done: sim.homesDone}
			for _, n := range b.Backups {
				if sim.alive(n) {
					s.Copies = append(s.Copies, records.CopyStatus{Backup: n, Incarnation: sim.state.Placement.Hosts[n].Incarnation})
				}
			}
			list = append(list, s)
		}
	}
	return list
}

// alive reports whether the host has a valid lease and the incarnation that the
// placement has for it.
func (sim *simulation) alive(n table.HostNum) bool {
	h, ok := sim.state.Placement.Hosts[n]
	for _, m := range sim.hosts {
		if ok && m.Name == h.Name {
			return !m.LeaseExpired && m.Incarnation == h.Incarnation
		}
	}
	return false
}

// step lets the hosts acknowledge the current revision, then computes and applies
// one delta.
func (sim *simulation) step() table.Delta {
	for i := range sim.hosts {
		if !sim.lagging[sim.hosts[i].Name] {
			sim.hosts[i].Revision = sim.state.Revision
		}
	}
	sim.now = sim.now.Add(sim.tick)
	sim.last = sim.planner.Next(sim.input())
	if !sim.last.Empty() {
		delta := sim.last
		if r := sim.state.Apply(sim.state.Revision+1, state.Command{Placement: &delta}); r.Err != nil {
			panic(r.Err)
		}
	}
	return sim.last
}

func (sim *simulation) run(d time.Duration) {
	for range d / sim.tick {
		sim.step()
	}
}

func (sim *simulation) buckets(service string) []table.Bucket {
	return sim.state.Placement.Buckets[service]
}

// bucketsByBackend returns the number of buckets whose new flows go to each backend
// server.
func (sim *simulation) bucketsByBackend(service string) map[string]int {
	n := map[string]int{}
	for _, b := range sim.buckets(service) {
		n[sim.state.Placement.Backends[b.Opening()].ID]++
	}
	return n
}

func (sim *simulation) phases(service string) map[table.Phase]int {
	n := map[table.Phase]int{}
	for _, b := range sim.buckets(service) {
		n[b.Phase]++
	}
	return n
}

func (sim *simulation) backendNum(id string) table.BackendNum {
	for n, b := range sim.state.Placement.Backends {
		if b.ID == id {
			return n
		}
	}
	return 0
}

func (sim *simulation) host(name string) *place.Host {
	for i := range sim.hosts {
		if sim.hosts[i].Name == name {
			return &sim.hosts[i]
		}
	}
	return nil
}
