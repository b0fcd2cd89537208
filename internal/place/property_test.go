package place_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagequay/internal/model"
	"greengagequay/internal/place"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// randomAction applies a random change to a host, a backend server or the homes.
func randomAction(t *rapid.T, sim *simulation) {
	host := rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")
	backend := rapid.IntRange(0, len(sim.backends)-1).Draw(t, "backend")
	h, b := &sim.hosts[host], &sim.backends[backend]
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		b.State = model.Draining
	case 1, 2:
		b.State = model.Ready
	case 3:
		b.State = model.Gone
	case 4:
		b.State, b.Incarnation = model.Ready, b.Incarnation+1
	case 5:
		b.Weight = rapid.IntRange(0, 300).Draw(t, "weight")
	case 6:
		h.Incarnation, h.LeaseExpired = h.Incarnation+1, false
	case 7:
		h.LeaseExpired = !h.LeaseExpired
	case 8:
		sim.lagging[h.Name] = !sim.lagging[h.Name]
	case 9:
		h.Leaving = !h.Leaving
	case 10:
		sim.homesDone = !sim.homesDone
	case 11:
		b.Service = map[string]string{"s": "t", "t": "s"}[b.Service]
	}
}

// checkStep checks the invariants of a placement and of the step that led to it.
func checkStep(t *rapid.T, sim *simulation, before, after *table.Placement, acked uint64) {
	gone := func(n table.BackendNum) bool {
		b, ok := after.Backends[n]
		return !ok || b.State == model.Gone
	}
	for name, buckets := range after.Buckets {
		for i := range buckets {
			old, b := table.Bucket{}, &buckets[i]
			if len(before.Buckets[name]) > 0 {
				old = before.Buckets[name][i]
			}
			checkBucket(t, sim, name, b, after)
			if old.Len() == 0 {
				continue
			}
			checkChange(t, &old, b, gone, acked)
		}
	}
}

func checkBucket(t *rapid.T, sim *simulation, service string, b *table.Bucket, p *table.Placement) {
	seen := map[table.BackendNum]bool{}
	for _, n := range b.All() {
		if backend, ok := p.Backends[n]; seen[n] || !ok || backend.Service != service {
			t.Fatalf("candidate %d is duplicate, unknown or of another service: %+v", n, b)
		}
		seen[n] = true
	}
	if b.Len() > 0 && (b.Opening() == 0 || b.Unknown() == 0) || b.Moving() != (b.Len() > 1) {
		t.Fatalf("inconsistent bucket: %+v", b)
	}
	if !b.Moving() {
		return
	}
	if _, ok := p.Hosts[b.Home]; b.Home != 0 && !ok || b.Home == 0 && anyEligible(sim) {
		t.Fatalf("moving bucket has no valid home: %+v", b)
	}
	if b.Home != 0 && b.Home == b.Backups[0] || b.Backups[0] != 0 && b.Backups[0] == b.Backups[1] {
		t.Fatalf("a host has two roles: %+v", b)
	}
}

func anyEligible(sim *simulation) bool {
	for _, h := range sim.hosts {
		if !h.LeaseExpired && !h.Leaving {
			return true
		}
	}
	return false
}

func checkChange(t *rapid.T, old, b *table.Bucket, gone func(table.BackendNum) bool, acked uint64) {
	switch {
	case old.Phase == table.Prepare && b.Phase == table.Move && !gone(old.Opening()) && old.Since > acked:
		t.Fatalf("entered Move before every host acknowledged Prepare: %+v then %+v, acknowledged %d", old, b, acked)
	case old.Phase == table.Stable && b.Opening() != old.Opening() && !gone(old.Opening()):
		t.Fatalf("target of a stable bucket changed without a move: %+v then %+v", old, b)
	case old.Unknown() != b.Unknown() && b.Phase != table.Settle && !gone(old.Unknown()):
		t.Fatalf("backend server for flows without a record changed outside Settle: %+v then %+v", old, b)
	case old.Opening() != b.Opening() && old.Home != b.Home && b.Moving() && old.Moving() && !gone(old.Opening()):
		t.Fatalf("home and target changed in one step: %+v then %+v", old, b)
	}
}

// ackedRevision returns the oldest revision of the hosts with a valid lease.
func ackedRevision(sim *simulation) uint64 {
	acked := uint64(math.MaxUint64)
	for _, h := range sim.hosts {
		if !h.LeaseExpired {
			acked = min(acked, h.Revision)
		}
	}
	return acked
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, 5, append(service("s", 32), service("t", 16)...)...)
		sim.add("s", 5)
		sim.run(2 * time.Second)
		second := place.NewPlanner()
		sim.planner = place.NewPlanner()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			randomAction(t, sim)
			for range rapid.IntRange(1, 5).Draw(t, "ticks") {
				before := sim.state.Placement.View()
				delta := sim.step()
				if again := second.Next(sim.lastInput(before)); !reflect.DeepEqual(delta, again) {
					t.Fatalf("the same input gave %+v and %+v", delta, again)
				}
				checkStep(t, sim, before, sim.state.Placement, ackedRevision(sim))
			}
		}
		checkConverged(t, sim)
	})
}

// lastInput returns the input of the last step, which started from placement p.
func (sim *simulation) lastInput(p *table.Placement) place.Input {
	now := sim.state.Placement
	sim.state.Placement = p
	in := sim.input()
	sim.state.Placement = now
	return in
}

// convergeTime is longer than the 10 s for which moves wait after a partition.
const convergeTime = 15 * time.Second

// checkConverged checks that every backend server of service s gets its exact share
// once all hosts respond again.
func checkConverged(t *rapid.T, sim *simulation) {
	sim.lagging = map[string]bool{}
	for i := range sim.hosts {
		sim.hosts[i].LeaseExpired, sim.hosts[i].Leaving = false, false
	}
	sim.homesDone = true
	sim.run(convergeTime)
	weights := map[string]int{}
	for _, b := range sim.backends {
		if b.State == model.Ready && b.Service == "s" {
			weights[b.ID] = b.Weight
			if b.Weight == 0 {
				weights[b.ID] = sim.state.Tree.Int("/s", settings.BackendWeight)
			}
		}
	}
	if len(weights) > 0 {
		if err := checkShares(weights, sim.bucketsByBackend("s"), 32); err != "" {
			t.Fatal(err)
		}
	}
}

// checkShares compares the numbers of buckets with shares computed from scratch. It
// returns a description of the first difference, or "".
func checkShares(weights, got map[string]int, total int) string {
	sum, left := 0, total
	for _, weight := range weights {
		sum += weight
	}
	least, most := sum, 0 // least remainder that was rounded up, greatest that was rounded down
	for id, weight := range weights {
		whole, remainder := total*weight/sum, total*weight%sum
		left -= got[id]
		switch got[id] {
		case whole:
			most = max(most, remainder)
		case whole + 1:
			least = min(least, remainder)
		default:
			return fmt.Sprintf("%s has %d buckets, exact share is %d and %d/%d", id, got[id], whole, remainder, sum)
		}
	}
	if left != 0 || most > least {
		return fmt.Sprintf("weights %v gave buckets %v", weights, got)
	}
	return ""
}

func TestFewestBucketsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3, 4, service("s", 128)...)
		sim.add("s", 7)
		sim.homesDone = true
		sim.run(2 * time.Second)
		before, oldBuckets := sim.bucketsByBackend("s"), sim.buckets("s")
		for i := range sim.backends {
			sim.backends[i].Weight = rapid.IntRange(50, 200).Draw(t, "weight")
			if rapid.Bool().Draw(t, "drain") && i > 0 {
				sim.backends[i].State = model.Draining
			}
		}
		sim.run(2 * time.Second)
		least, moved := 0, 0
		for id, n := range before {
			least += max(0, n-sim.bucketsByBackend("s")[id])
		}
		for i, b := range sim.buckets("s") {
			if b.Opening() != oldBuckets[i].Opening() {
				moved++
			}
		}
		if moved != least {
			t.Fatalf("moved %d buckets, the least possible number is %d", moved, least)
		}
	})
}
