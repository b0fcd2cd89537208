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

// TestMain gives property tests a fixed seed, unless a seed is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

// world is a planner with the members that it places for. Hosts acknowledge
// each revision at once and homes report at once, unless told otherwise.
type world struct {
	now      time.Time
	state    *state.State
	planner  *place.Planner
	hosts    []place.Host
	backends []model.Backend
	flows    map[table.BackendNum]float64
	lagging  map[string]bool // hosts that acknowledge nothing
	mute     bool            // homes report nothing
	settled  bool            // homes have done what a phase waits for
	last     table.Delta
	tick     time.Duration
}

const tick = 100 * time.Millisecond

func newWorld(zones, hosts int, ops ...settings.Op) *world {
	w := &world{now: time.Unix(1000, 0), state: state.New(), planner: place.NewPlanner(), lagging: map[string]bool{}, tick: tick}
	for i := range hosts {
		w.hosts = append(w.hosts, place.Host{Host: model.Host{
			Name: fmt.Sprintf("h%02d", i), Zone: zoneName(i % zones), State: model.Alive, Incarnation: 1,
		}})
	}
	w.change(ops...)
	return w
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

func (w *world) change(ops ...settings.Op) {
	r := w.state.Apply(w.state.Revision+1, state.Command{Change: &state.Change{ID: fmt.Sprint(w.state.Revision), Ops: ops}})
	if r.Err != nil {
		panic(r.Err)
	}
}

// add announces n ready backend servers, spread over zones a, b and c.
func (w *world) add(service string, n int) {
	for i := range n {
		w.backends = append(w.backends, model.Backend{
			ID: fmt.Sprintf("%s-%02d", service, i), Service: service, Zone: zoneName(i % 3), State: model.Ready, Incarnation: 1,
			Packet: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
}

func (w *world) input() place.Input {
	in := place.Input{
		Now: w.now, Tree: w.state.Tree, TreeRevision: w.state.SettingsRevision,
		Current: w.state.Placement.View(), Hosts: w.hosts, Backends: w.backends, Flows: w.flows,
	}
	if !w.mute {
		in.Statuses = w.statuses()
	}
	return in
}

// statuses returns the reports of all homes that are alive.
func (w *world) statuses() []records.BucketStatus {
	var list []records.BucketStatus
	for name, buckets := range w.state.Placement.Buckets {
		for i := range buckets {
			b := &buckets[i]
			if !b.Moving() || !w.settled && b.Synced == 3 || !w.alive(b.Home) {
				continue
			}
			s := records.BucketStatus{Service: name, Bucket: i, Since: b.Since, Home: b.Home, Done: w.settled}
			for _, n := range b.Backups {
				if w.alive(n) {
					s.Copies = append(s.Copies, records.CopyStatus{Backup: n, Incarnation: w.state.Placement.Hosts[n].Incarnation})
				}
			}
			list = append(list, s)
		}
	}
	return list
}

func (w *world) alive(n table.HostNum) bool {
	h, ok := w.state.Placement.Hosts[n]
	for _, m := range w.hosts {
		if ok && m.Name == h.Name {
			return !m.LeaseOut && m.Incarnation == h.Incarnation
		}
	}
	return false
}

// step lets the hosts acknowledge, and applies one delta.
func (w *world) step() table.Delta {
	for i := range w.hosts {
		if !w.lagging[w.hosts[i].Name] {
			w.hosts[i].Revision = w.state.Revision
		}
	}
	w.now = w.now.Add(w.tick)
	w.last = w.planner.Next(w.input())
	if !w.last.Empty() {
		delta := w.last
		if r := w.state.Apply(w.state.Revision+1, state.Command{Placement: &delta}); r.Err != nil {
			panic(r.Err)
		}
	}
	return w.last
}

func (w *world) run(d time.Duration) {
	for range d / w.tick {
		w.step()
	}
}

func (w *world) buckets(service string) []table.Bucket { return w.state.Placement.Buckets[service] }

// opening returns how many buckets send new flows to each backend server.
func (w *world) opening(service string) map[string]int {
	n := map[string]int{}
	for _, b := range w.buckets(service) {
		n[w.state.Placement.Backends[b.Opening()].ID]++
	}
	return n
}

func (w *world) phases(service string) map[table.Phase]int {
	n := map[table.Phase]int{}
	for _, b := range w.buckets(service) {
		n[b.Phase]++
	}
	return n
}

func (w *world) num(id string) table.BackendNum {
	for n, b := range w.state.Placement.Backends {
		if b.ID == id {
			return n
		}
	}
	return 0
}

func (w *world) host(name string) *place.Host {
	for i := range w.hosts {
		if w.hosts[i].Name == name {
			return &w.hosts[i]
		}
	}
	return nil
}
