package follow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/model"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func zoneHosts(n int, zone string) []model.Host {
	var hosts []model.Host
	for i := range n {
		name := fmt.Sprintf("%s-%d", zone, i)
		hosts = append(hosts, model.Host{Name: name, Zone: zone, Entry: true, RPC: name, State: model.Alive})
	}
	return hosts
}

func controlSources(n int) []Source {
	var list []Source
	for i := range n {
		name := fmt.Sprintf("control-%d", i)
		list = append(list, Source{Name: name, RPC: name})
	}
	return list
}

func TestTreeReachesControlWithinBounds(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 64, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			hosts := zoneHosts(size, "rvk-a")
			control := controlSources(3)
			parent := map[string]string{}
			children := map[string]int{}
			for _, h := range hosts {
				first := Sources(h.Name, hosts, control)[0].Name
				parent[h.Name] = first
				children[first]++
			}
			for _, h := range hosts {
				depth := 0
				for at := h.Name; at != ""; at = parent[at] {
					depth++
					c.Assert(depth <= size+1, qt.IsTrue, qt.Commentf("cycle at %s", h.Name))
				}
				c.Assert(children[h.Name] <= fanOut, qt.IsTrue)
			}
		})
	}
}

func TestEverySourceOfTheZoneHasALowerRank(t *testing.T) {
	c := qt.New(t)
	hosts := zoneHosts(64, "rvk-a")
	rank := map[string]int{}
	for i, h := range zoneMembers(hosts[0].Name, hosts) {
		rank[h.Name] = i
	}
	for _, h := range hosts {
		for _, s := range Sources(h.Name, hosts, controlSources(3)) {
			if r, ok := rank[s.Name]; ok {
				c.Assert(r < rank[h.Name], qt.IsTrue)
			}
		}
	}
}

func TestDeadParentIsReplaced(t *testing.T) {
	c := qt.New(t)
	hosts := zoneHosts(30, "rvk-a")
	self := zoneMembers(hosts[0].Name, hosts)[20].Name
	parent := Sources(self, hosts, nil)[0].Name
	for i := range hosts {
		if hosts[i].Name == parent {
			hosts[i].State = model.Dead
		}
	}
	for _, s := range Sources(self, hosts, nil) {
		c.Assert(s.Name, qt.Not(qt.Equals), parent)
	}
}

func TestFailedSourcePausesLongerEachTime(t *testing.T) {
	c := qt.New(t)
	core := New()
	core.SetSources([]Source{{Name: "a"}, {Name: "b"}})
	core.PullFailed(startTime, "a")
	s, wait, ok := core.Next(startTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Name, qt.Equals, "b")
	c.Assert(wait, qt.Equals, time.Duration(0))
	core.PullFailed(startTime, "b")
	core.PullFailed(startTime, "b")
	s, wait, _ = core.Next(startTime)
	c.Assert(s.Name, qt.Equals, "a")
	c.Assert(wait, qt.Equals, firstBackoff)
	core.PullAnswered(startTime.Add(wait), "a", 0)
	s, wait, _ = core.Next(startTime.Add(wait))
	c.Assert(s.Name, qt.Equals, "a")
	c.Assert(wait, qt.Equals, time.Duration(0))
}

// TestCutOffSourceIsPassedOver covers a partitioned source: it answers each pull, but
// the age of its state grows.
func TestCutOffSourceIsPassedOver(t *testing.T) {
	c := qt.New(t)
	core := New()
	core.SetSources([]Source{{Name: "cut-off"}, {Name: "current"}})
	core.PullAnswered(startTime, "cut-off", staleAfter+time.Second)
	s, _, _ := core.Next(startTime)
	c.Assert(s.Name, qt.Equals, "current")
}

// TestMissingRevisionIsAskedElsewhere covers a source that never answers a pull because
// its connection hangs.
func TestMissingRevisionIsAskedElsewhere(t *testing.T) {
	c := qt.New(t)
	core := New()
	core.SetSources([]Source{{Name: "a"}, {Name: "b"}})
	_, ok := core.Hedge(startTime, 5, 4)
	c.Assert(ok, qt.IsFalse)
	asked := map[string]bool{}
	for i := 1; i <= 2; i++ {
		s, ok := core.Hedge(startTime.Add(time.Duration(i)*hedgeAfter), 5, 4)
		c.Assert(ok, qt.IsTrue)
		asked[s.Name] = true
	}
	c.Assert(asked, qt.HasLen, 2)
	_, ok = core.Hedge(startTime.Add(time.Hour), 5, 5)
	c.Assert(ok, qt.IsFalse)
}

func TestAgeIsNeverUnderstated(t *testing.T) {
	c := qt.New(t)
	var f Freshness
	_, known := f.Age(startTime)
	c.Assert(known, qt.IsFalse)
	f.Confirm(startTime, time.Second)
	f.Confirm(startTime.Add(time.Second), time.Minute) // an older confirmation does not raise the age
	age, known := f.Age(startTime.Add(2 * time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, 3*time.Second)
}
