package fleet

import (
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/feed"
)

func TestSelectHosts(t *testing.T) {
	own := candidate{addr: "own", zone: "a"}
	x, y := candidate{addr: "x", zone: "b"}, candidate{addr: "y", zone: "c"}
	connected := func(c candidate) candidate { c.connected = true; return c }
	current := func(c candidate) candidate { c.connected, c.current = true, true; return c }
	sufficient := func(c candidate) candidate { c.connected, c.current, c.sync = true, true, feed.Synced; return c }
	tests := []struct {
		name  string
		hosts []candidate
		want  string
	}{
		{"none known", nil, ""},
		{"none followed yet", []candidate{own, x, y}, "own x y"},
		{"host of own zone suffices", []candidate{sufficient(own), sufficient(x), y}, "own"},
		{"host of own zone has not sent its state", []candidate{current(own), sufficient(x), y}, "own x"},
		{"no host has sent its state", []candidate{current(own), current(x), y}, "own x y"},
		{"host of own zone is down", []candidate{own, sufficient(x), y}, "own x"},
		{"host of own zone does not reach a quorum", []candidate{connected(own), sufficient(x), y}, "own x"},
		{"no host reaches a quorum", []candidate{connected(own), connected(x), connected(y)}, "own x y"},
		{"preferred host is new", []candidate{x, sufficient(y)}, "x y"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			self := "e1"
			if tt.name == "preferred host is new" {
				self = entryHostPreferring("x", "y")
			}
			got := slices.Sorted(maps.Keys(selectHosts("a", self, tt.hosts)))
			qt.Assert(t, strings.Join(got, " "), qt.Equals, tt.want)
		})
	}
}

// entryHostPreferring returns the name of an entry host that prefers the first of
// two control hosts in other zones.
func entryHostPreferring(first, second string) string {
	self := "e"
	for !prefers("", self, candidate{addr: first}, candidate{addr: second}) {
		self += "e"
	}
	return self
}

func TestNextSync(t *testing.T) {
	own := candidate{addr: "own", zone: "a", connected: true}
	x := candidate{addr: "x", zone: "b", connected: true}
	current := func(c candidate) candidate { c.current = true; return c }
	sync := func(c candidate, s feed.SyncState) candidate { c.sync = s; return c }
	tests := []struct {
		name  string
		hosts []candidate
		want  string
	}{
		{"none known", nil, ""},
		{"none connected", []candidate{{addr: "own", zone: "a"}}, ""},
		{"own zone first", []candidate{x, own}, "own"},
		{"a host with a quorum first", []candidate{own, current(x)}, "x"},
		{"one is sending", []candidate{own, sync(x, feed.Syncing)}, ""},
		{"one will send at once", []candidate{own, {addr: "y", zone: "c", sync: feed.Syncing}}, ""},
		{"one has stalled", []candidate{own, sync(x, feed.Stalled)}, "own"},
		{"one has sent all", []candidate{sync(own, feed.Synced), x}, "x"},
		{"all have sent all", []candidate{sync(own, feed.Synced), sync(x, feed.Synced)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, nextSync("a", "e1", tt.hosts), qt.Equals, tt.want)
		})
	}
}

// Guards against demand that no followed control host counts, and that only one without a
// quorum counts.
func TestDemandCounter(t *testing.T) {
	own, x := candidate{addr: "own", zone: "a", connected: true}, candidate{addr: "x", zone: "b", connected: true}
	qt.Check(t, demandCounter("a", "e1", []candidate{x, own}), qt.Equals, "own")
	x.current = true
	qt.Check(t, demandCounter("a", "e1", []candidate{own, x}), qt.Equals, "x")
	x.connected = false
	qt.Check(t, demandCounter("a", "e1", []candidate{own, x}), qt.Equals, "own")
}
