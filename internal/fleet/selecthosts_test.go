package fleet

import (
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSelectHosts(t *testing.T) {
	own := candidate{addr: "own", zone: "a"}
	x, y := candidate{addr: "x", zone: "b"}, candidate{addr: "y", zone: "c"}
	connected := func(c candidate) candidate { c.connected = true; return c }
	sufficient := func(c candidate) candidate { c.connected, c.current = true, true; return c }
	tests := []struct {
		name  string
		hosts []candidate
		want  string
	}{
		{"none known", nil, ""},
		{"none followed yet", []candidate{own, x, y}, "own x y"},
		{"host of own zone suffices", []candidate{sufficient(own), sufficient(x), y}, "own"},
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
