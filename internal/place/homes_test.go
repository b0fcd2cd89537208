package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// moving returns a world in which a quarter of the buckets move, with synced
// backups.
func moving() *world {
	w := newWorld(3, 9, service("s", 256)...)
	w.add("s", 4)
	w.run(2 * time.Second)
	w.backends[0].State = model.Draining
	w.run(time.Second)
	return w
}

func (w *world) movingBuckets() map[int]table.Bucket {
	list := map[int]table.Bucket{}
	for i, b := range w.buckets("s") {
		if b.Moving() {
			list[i] = b
		}
	}
	return list
}

func TestHomesAreEvenAndBackupsInOtherZones(t *testing.T) {
	c := qt.New(t)
	w := moving()
	roles := map[table.HostNum]int{}
	for i, b := range w.movingBuckets() {
		zones := map[string]bool{}
		for _, n := range []table.HostNum{b.Home, b.Backups[0], b.Backups[1]} {
			zones[w.state.Placement.Hosts[n].Zone] = true
			roles[n]++
		}
		c.Assert(zones, qt.HasLen, 3, qt.Commentf("bucket %d", i))
		c.Assert(b.Synced, qt.Equals, uint8(3))
	}
	for n, count := range roles { // 64 buckets, 3 roles, 9 hosts
		c.Assert(count >= 19 && count <= 24, qt.IsTrue, qt.Commentf("host %d has %d", n, count))
	}
}

// lose makes a change to the home of a moving bucket and returns the buckets
// it was the home of, as they were before.
func lose(w *world, how func(name string)) map[int]table.Bucket {
	before := w.movingBuckets()
	var lost table.HostNum
	for _, b := range before {
		lost = max(lost, b.Home)
	}
	for i, b := range before {
		if b.Home != lost {
			delete(before, i)
		}
	}
	how(w.state.Placement.Hosts[lost].Name)
	return before
}

func TestLostHomeIsFollowedBySyncedBackup(t *testing.T) {
	for name, how := range map[string]func(*world, string){
		"silent":    func(w *world, h string) { w.host(h).LeaseOut, w.host(h).State = true, model.Dead },
		"restarted": func(w *world, h string) { w.host(h).Incarnation = 2 },
		"left":      func(w *world, h string) { w.host(h).State = model.Left },
		"leaving":   func(w *world, h string) { w.host(h).Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := moving()
			before := lose(w, func(h string) { how(w, h) })
			w.step()
			for i, b := range before {
				now := w.buckets("s")[i]
				c.Assert(now.Home == b.Backups[0] || now.Home == b.Backups[1], qt.IsTrue)
				c.Assert(now.Synced, qt.Equals, uint8(0), qt.Commentf("copies are not counted before they are confirmed"))
				c.Assert(now.Phase, qt.Equals, b.Phase)
			}
			w.run(time.Second)
			for i := range before {
				c.Assert(w.buckets("s")[i].Synced, qt.Equals, uint8(3))
			}
		})
	}
}

func TestSecondLossRightAfterTheFirst(t *testing.T) {
	c := qt.New(t)
	w := moving()
	w.mute = true
	down := func(h string) { w.host(h).LeaseOut = true }
	before := lose(w, down)
	w.step()
	for i, b := range before {
		if w.buckets("s")[i].Home == b.Backups[0] {
			down(w.state.Placement.Hosts[b.Backups[0]].Name)
			w.step()
			c.Assert(w.buckets("s")[i].Home, qt.Equals, b.Backups[1], qt.Commentf("the last host with records"))
			return
		}
	}
}

func TestLeavingHomeStaysUntilABackupIsSynced(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 9, service("s", 64)...)
	w.add("s", 4)
	w.run(2 * time.Second)
	w.mute = true
	w.backends[0].State = model.Draining
	w.run(time.Second)
	before := lose(w, func(h string) { w.host(h).Leaving = true })
	w.run(time.Second)
	for i, b := range before {
		c.Assert(w.buckets("s")[i].Home, qt.Equals, b.Home)
	}
	w.mute = false
	w.run(time.Second)
	for i, b := range before {
		c.Assert(w.buckets("s")[i].Home, qt.Not(qt.Equals), b.Home)
	}
}

func TestReportOfAFormerHomeDoesNotCount(t *testing.T) {
	c := qt.New(t)
	w := moving()
	w.settled = true
	stale := w.statuses()
	w.settled = false
	before := lose(w, func(h string) { w.host(h).Incarnation = 2 })
	w.step()
	in := w.input()
	in.Statuses = stale
	for _, u := range w.planner.Next(in).SetBuckets {
		if _, ok := before[u.Index]; ok {
			c.Assert(u.Bucket.Phase, qt.Equals, table.Move)
		}
	}
}

func TestDirectionStaysUntilTheNewHomeIsKnown(t *testing.T) {
	c := qt.New(t)
	w := moving()
	before := lose(w, func(h string) { w.host(h).Leaving = true })
	w.step()
	w.lagging["h00"] = true
	w.backends[1].State = model.Draining
	w.run(time.Second)
	for i, b := range before {
		c.Assert(w.buckets("s")[i].Opening(), qt.Equals, b.Opening())
	}
	w.lagging = nil
	w.run(time.Second)
	c.Assert(w.opening("s")["s-01"], qt.Equals, 0)
}
