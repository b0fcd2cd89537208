package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
	"greengagequay/internal/settings"
	"greengagequay/internal/table"
)

// spread returns the most homes and the most roles of one host, each in
// relation to the mean over all hosts.
func (w *world) spread(service string) (homes, roles float64) {
	byHome, byRole := map[table.HostNum]int{}, map[table.HostNum]int{}
	moving, mostHomes, mostRoles := 0, 0, 0
	for _, b := range w.buckets(service) {
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
	hosts := float64(len(w.hosts))
	return float64(mostHomes) * hosts / float64(moving), float64(mostRoles) * hosts / float64(3*moving)
}

func TestHomesStayEvenOverDrainsAndRestarts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 20, set("/s", settings.ServiceZones, `["a","b","c"]`))
	w.add("s", 14)
	w.run(3 * time.Second)
	for i := range 14 {
		w.backends[i].State = model.Draining
		w.run(3 * time.Second)
		w.backends[i].State = model.Ready
		w.run(3 * time.Second)
	}
	homes, roles := w.spread("s")
	t.Logf("after drains: homes max/mean %.2f, roles max/mean %.2f", homes, roles)
	c.Assert(homes <= 1.5 && roles <= 1.25, qt.IsTrue)
	for i := range w.hosts {
		w.hosts[i].Leaving = true
		w.run(time.Second)
		w.hosts[i].Leaving = false
		w.hosts[i].Incarnation++
		w.run(time.Second)
	}
	homes, roles = w.spread("s")
	t.Logf("after restarts: homes max/mean %.2f, roles max/mean %.2f", homes, roles)
	c.Assert(homes <= 3, qt.IsTrue)
}
