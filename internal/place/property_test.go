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

// act changes something at random.
func act(t *rapid.T, w *world) {
	host := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
	backend := rapid.IntRange(0, len(w.backends)-1).Draw(t, "backend")
	h, b := &w.hosts[host], &w.backends[backend]
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
		h.Incarnation, h.LeaseOut = h.Incarnation+1, false
	case 7:
		h.LeaseOut = !h.LeaseOut
	case 8:
		w.lagging[h.Name] = !w.lagging[h.Name]
	case 9:
		h.Leaving = !h.Leaving
	case 10:
		w.settled = !w.settled
	case 11:
		b.Service = map[string]string{"s": "t", "t": "s"}[b.Service]
	}
}

// checkStep checks what must hold between two placements.
func checkStep(t *rapid.T, w *world, before, after *table.Placement, acked uint64) {
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
			checkBucket(t, w, name, b, after)
			if old.Len() == 0 {
				continue
			}
			checkChange(t, &old, b, gone, acked)
		}
	}
}

func checkBucket(t *rapid.T, w *world, service string, b *table.Bucket, p *table.Placement) {
	seen := map[table.BackendNum]bool{}
	for _, n := range b.All() {
		if backend, ok := p.Backends[n]; seen[n] || !ok || backend.Service != service {
			t.Fatalf("candidate %d twice, unknown or of another service: %+v", n, b)
		}
		seen[n] = true
	}
	if b.Len() > 0 && (b.Opening() == 0 || b.Unknown() == 0) || b.Moving() != (b.Len() > 1) {
		t.Fatalf("inconsistent bucket: %+v", b)
	}
	if !b.Moving() {
		return
	}
	if _, ok := p.Hosts[b.Home]; b.Home != 0 && !ok || b.Home == 0 && anyAlive(w) {
		t.Fatalf("no home: %+v", b)
	}
	if b.Home != 0 && b.Home == b.Backups[0] || b.Backups[0] != 0 && b.Backups[0] == b.Backups[1] {
		t.Fatalf("a host has two roles: %+v", b)
	}
}

func anyAlive(w *world) bool {
	for _, h := range w.hosts {
		if !h.LeaseOut && !h.Leaving {
			return true
		}
	}
	return false
}

func checkChange(t *rapid.T, old, b *table.Bucket, gone func(table.BackendNum) bool, acked uint64) {
	switch {
	case old.Phase == table.Prepare && b.Phase == table.Move && !gone(old.Opening()) && old.Since > acked:
		t.Fatalf("moved before every host acknowledged: %+v then %+v, acknowledged %d", old, b, acked)
	case old.Phase == table.Stable && b.Opening() != old.Opening() && !gone(old.Opening()):
		t.Fatalf("jumped: %+v then %+v", old, b)
	case old.Unknown() != b.Unknown() && b.Phase != table.Settle && !gone(old.Unknown()):
		t.Fatalf("flows without a record moved: %+v then %+v", old, b)
	case old.Opening() != b.Opening() && old.Home != b.Home && b.Moving() && old.Moving() && !gone(old.Opening()):
		t.Fatalf("home and direction changed at once: %+v then %+v", old, b)
	}
}

func ackedBy(w *world) uint64 {
	acked := uint64(math.MaxUint64)
	for _, h := range w.hosts {
		if !h.LeaseOut {
			acked = min(acked, h.Revision)
		}
	}
	return acked
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 5, append(service("s", 32), service("t", 16)...)...)
		w.add("s", 5)
		w.run(2 * time.Second)
		twin := place.NewPlanner()
		w.planner = place.NewPlanner()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			act(t, w)
			for range rapid.IntRange(1, 5).Draw(t, "ticks") {
				before := w.state.Placement.View()
				delta := w.step()
				if again := twin.Next(w.inputBefore(before)); !reflect.DeepEqual(delta, again) {
					t.Fatalf("the same input gave %+v and %+v", delta, again)
				}
				checkStep(t, w, before, w.state.Placement, ackedBy(w))
			}
		}
		checkQuiet(t, w)
	})
}

// inputBefore returns the input of the last step.
func (w *world) inputBefore(p *table.Placement) place.Input {
	now := w.state.Placement
	w.state.Placement = p
	in := w.input()
	w.state.Placement = now
	return in
}

// quietTime is longer than the time for which moves wait after a cut.
const quietTime = 15 * time.Second

// checkQuiet checks what holds once hosts answer again.
func checkQuiet(t *rapid.T, w *world) {
	w.lagging = map[string]bool{}
	for i := range w.hosts {
		w.hosts[i].LeaseOut, w.hosts[i].Leaving = false, false
	}
	w.settled = true
	w.run(quietTime)
	weights := map[string]int{}
	for _, b := range w.backends {
		if b.State == model.Ready && b.Service == "s" {
			weights[b.ID] = b.Weight
			if b.Weight == 0 {
				weights[b.ID] = w.state.Tree.Int("/s", settings.BackendWeight)
			}
		}
	}
	if len(weights) > 0 {
		if err := checkShares(weights, w.opening("s"), 32); err != "" {
			t.Fatal(err)
		}
	}
}

// checkShares compares counts with a naive recomputation of all shares.
func checkShares(weights, got map[string]int, total int) string {
	sum, left := 0, total
	for _, weight := range weights {
		sum += weight
	}
	least, most := sum, 0 // remainders of those rounded up and rounded down
	for id, weight := range weights {
		whole, rest := total*weight/sum, total*weight%sum
		left -= got[id]
		switch got[id] {
		case whole:
			most = max(most, rest)
		case whole + 1:
			least = min(least, rest)
		default:
			return fmt.Sprintf("%s has %d, exact share %d and %d/%d", id, got[id], whole, rest, sum)
		}
	}
	if left != 0 || most > least {
		return fmt.Sprintf("weights %v gave %v", weights, got)
	}
	return ""
}

func TestFewestBucketsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 4, service("s", 128)...)
		w.add("s", 7)
		w.settled = true
		w.run(2 * time.Second)
		before, openings := w.opening("s"), w.buckets("s")
		for i := range w.backends {
			w.backends[i].Weight = rapid.IntRange(50, 200).Draw(t, "weight")
			if rapid.Bool().Draw(t, "drain") && i > 0 {
				w.backends[i].State = model.Draining
			}
		}
		w.run(2 * time.Second)
		least, moved := 0, 0
		for id, n := range before {
			least += max(0, n-w.opening("s")[id])
		}
		for i, b := range w.buckets("s") {
			if b.Opening() != openings[i].Opening() {
				moved++
			}
		}
		if moved != least {
			t.Fatalf("moved %d buckets, a full recomputation needs %d", moved, least)
		}
	})
}
