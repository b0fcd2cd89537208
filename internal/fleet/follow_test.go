package fleet

import (
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFollow(t *testing.T) {
	own := candidate{addr: "own", zone: "a"}
	x, y := candidate{addr: "x", zone: "b"}, candidate{addr: "y", zone: "c"}
	open := func(c candidate) candidate { c.open = true; return c }
	fit := func(c candidate) candidate { c.open, c.current = true, true; return c }
	tests := []struct {
		name  string
		hosts []candidate
		want  string
	}{
		{"none known", nil, ""},
		{"none followed yet", []candidate{own, x, y}, "own x y"},
		{"own zone suffices", []candidate{fit(own), fit(x), y}, "own"},
		{"own zone is down", []candidate{own, fit(x), y}, "own x"},
		{"own zone is cut off from a quorum", []candidate{open(own), fit(x), y}, "own x"},
		{"all are cut off from a quorum", []candidate{open(own), open(x), open(y)}, "own x y"},
		{"one more comes", []candidate{x, fit(y)}, "x y"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			self := "e1"
			if tt.name == "one more comes" {
				self = preferring("x", "y")
			}
			got := slices.Sorted(maps.Keys(follow("a", self, tt.hosts)))
			qt.Assert(t, strings.Join(got, " "), qt.Equals, tt.want)
		})
	}
}

// preferring returns a host that prefers the first of two hosts of other zones.
func preferring(first, second string) string {
	self := "e"
	for !better("", self, candidate{addr: first}, candidate{addr: second}) {
		self += "e"
	}
	return self
}
