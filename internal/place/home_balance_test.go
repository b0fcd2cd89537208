package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// roleImbalance returns the maximum number of homes and of roles of one host, each
// divided by the mean over all hosts.
func (sim *simulation) roleImbalance(service string) (homes, roles float64) {
	byHome, byRole := map[table.HostNum]int{}, map[table.HostNum]int{}
	moving, mostHomes, mostRoles := 0, 0, 0
	for _, b := range sim.buckets(service) {
		if !b.Moving() {
			continue
		}
		moving++
		byHome[b.Home]++
		mostHomes = max(mostHomes, byHome[b.Home])
		for _, n := range []table.HostNum{b.Home, b.Backups[0], b.Backups[1]} {
			byRole[n]++
			mostRoles = max(mostRoles, byRole[n])
		}
	}
	hosts := float64(len(sim.hosts))
	return float64(mostHomes) * hosts / float64(moving), float64(mostRoles) * hosts / float64(3*moving)
}

func TestHomesStayEvenOverDrainsAndRestarts(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 20, set("/s", settings.ServiceZones, `["a","b","c"]`))
	sim.add("s", 14)
	sim.run(3 * time.Second)
	for i := range 14 {
		sim.backends[i].State = model.Draining
		sim.run(3 * time.Second)
		sim.backends[i].State = model.Ready
		sim.run(3 * time.Second)
	}
	homes, roles := sim.roleImbalance("s")
	t.Logf("after drains: homes max/mean %.2f, roles max/mean %.2f", homes, roles)
	c.Assert(homes <= 1.5 && roles <= 1.25, qt.IsTrue)
	for i := range sim.hosts {
		sim.hosts[i].Leaving = true
		sim.run(time.Second)
		sim.hosts[i].Leaving = false
		sim.hosts[i].Incarnation++
		sim.run(time.Second)
	}
	homes, roles = sim.roleImbalance("s")
	t.Logf("after restarts: homes max/mean %.2f, roles max/mean %.2f", homes, roles)
	c.Assert(homes <= 3, qt.IsTrue)
}
