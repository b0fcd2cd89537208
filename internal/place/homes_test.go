package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/table"
)

// newDrainingSimulation returns a simulation in which a quarter of the buckets move
// and have synced backups.
func newDrainingSimulation() *simulation {
	sim := newSimulation(3, 9, service("s", 256)...)
	sim.add("s", 4)
	sim.run(2 * time.Second)
	sim.backends[0].State = model.Draining
	sim.run(time.Second)
	return sim
}

func (sim *simulation) movingBuckets() map[int]table.Bucket {
	list := map[int]table.Bucket{}
	for i, b := range sim.buckets("s") {
		if b.Moving() {
			list[i] = b
		}
	}
	return list
}

func TestHomesAreEvenAndBackupsInOtherZones(t *testing.T) {
	c := qt.New(t)
	sim := newDrainingSimulation()
	roles := map[table.HostNum]int{}
	for i, b := range sim.movingBuckets() {
		zones := map[string]bool{}
		for _, n := range []table.HostNum{b.Home, b.Backups[0], b.Backups[1]} {
			zones[sim.state.Placement.Hosts[n].Zone] = true
			roles[n]++
		}
		c.Assert(zones, qt.HasLen, 3, qt.Commentf("bucket %d", i))
		c.Assert(b.Synced, qt.Equals, uint8(3))
	}
	for n, count := range roles { // 64 buckets, 3 roles, 9 hosts
		c.Assert(count >= 19 && count <= 24, qt.IsTrue, qt.Commentf("host %d has %d", n, count))
	}
}

// disruptHome applies a change to the host that is the home of a moving bucket. It
// returns all buckets of this home as they were before.
func disruptHome(sim *simulation, change func(name string)) map[int]table.Bucket {
	before := sim.movingBuckets()
	var lost table.HostNum
	for _, b := range before {
		lost = max(lost, b.Home)
	}
	for i, b := range before {
		if b.Home != lost {
			delete(before, i)
		}
	}
	change(sim.state.Placement.Hosts[lost].Name)
	return before
}

func TestLostHomeIsReplacedBySyncedBackup(t *testing.T) {
	for name, change := range map[string]func(*simulation, string){
		"silent":    func(sim *simulation, h string) { sim.host(h).LeaseExpired, sim.host(h).State = true, model.Dead },
		"restarted": func(sim *simulation, h string) { sim.host(h).Incarnation = 2 },
		"left":      func(sim *simulation, h string) { sim.host(h).State = model.Left },
		"leaving":   func(sim *simulation, h string) { sim.host(h).Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newDrainingSimulation()
			before := disruptHome(sim, func(h string) { change(sim, h) })
			sim.step()
			for i, b := range before {
				now := sim.buckets("s")[i]
				c.Assert(now.Home == b.Backups[0] || now.Home == b.Backups[1], qt.IsTrue)
				c.Assert(now.Synced, qt.Equals, uint8(0), qt.Commentf("backups are not synced until the new home confirms their copies"))
				c.Assert(now.Phase, qt.Equals, b.Phase)
			}
			sim.run(time.Second)
			for i := range before {
				c.Assert(sim.buckets("s")[i].Synced, qt.Equals, uint8(3))
			}
		})
	}
}

func TestSecondLossRightAfterTheFirst(t *testing.T) {
	c := qt.New(t)
	sim := newDrainingSimulation()
	sim.noReports = true
	down := func(h string) { sim.host(h).LeaseExpired = true }
	before := disruptHome(sim, down)
	sim.step()
	for i, b := range before {
		if sim.buckets("s")[i].Home == b.Backups[0] {
			down(sim.state.Placement.Hosts[b.Backups[0]].Name)
			sim.step()
			c.Assert(sim.buckets("s")[i].Home, qt.Equals, b.Backups[1], qt.Commentf("only the second backup still has records"))
			return
		}
	}
}

func TestLeavingHomeStaysUntilABackupIsSynced(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 9, service("s", 64)...)
	sim.add("s", 4)
	sim.run(2 * time.Second)
	sim.noReports = true
	sim.backends[0].State = model.Draining
	sim.run(time.Second)
	before := disruptHome(sim, func(h string) { sim.host(h).Leaving = true })
	sim.run(time.Second)
	for i, b := range before {
		c.Assert(sim.buckets("s")[i].Home, qt.Equals, b.Home)
	}
	sim.noReports = false
	sim.run(time.Second)
	for i, b := range before {
		c.Assert(sim.buckets("s")[i].Home, qt.Not(qt.Equals), b.Home)
	}
}

func TestReportOfAFormerHomeDoesNotCount(t *testing.T) {
	c := qt.New(t)
	sim := newDrainingSimulation()
	sim.homesDone = true
	stale := sim.statuses()
	sim.homesDone = false
	before := disruptHome(sim, func(h string) { sim.host(h).Incarnation = 2 })
	sim.step()
	in := sim.input()
	in.Statuses = stale
	for _, u := range sim.planner.Next(in).SetBuckets {
		if _, ok := before[u.Index]; ok {
			c.Assert(u.Bucket.Phase, qt.Equals, table.Move)
		}
	}
}

func TestTargetStaysUntilHostsKnowTheNewHome(t *testing.T) {
	c := qt.New(t)
	sim := newDrainingSimulation()
	before := disruptHome(sim, func(h string) { sim.host(h).Leaving = true })
	sim.step()
	sim.lagging["h00"] = true
	sim.backends[1].State = model.Draining
	sim.run(time.Second)
	for i, b := range before {
		c.Assert(sim.buckets("s")[i].Opening(), qt.Equals, b.Opening())
	}
	sim.lagging = nil
	sim.run(time.Second)
	c.Assert(sim.bucketsByBackend("s")["s-01"], qt.Equals, 0)
}
