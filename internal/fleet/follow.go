package fleet

import "github.com/cespare/xxhash/v2"

// candidate is a control host that an entry host may follow.
type candidate struct {
	addr    string
	zone    string
	open    bool // it is followed now
	current bool // it is in touch with a quorum
}

// fit reports whether following this host alone is enough.
func (c candidate) fit() bool { return c.open && c.current }

// follow returns the control hosts that an entry host follows: the preferred
// one, and while that one does not suffice, one that does; while none does, all
// of them. A preferred host that is cut off from a quorum is still followed: it
// may hear backend servers that no other hears.
func follow(zone, self string, hosts []candidate) map[string]bool {
	want := map[string]bool{}
	preferred, substitute := candidate{}, candidate{}
	for _, c := range hosts {
		if preferred.addr == "" || better(zone, self, c, preferred) {
			preferred = c
		}
		if c.fit() && (substitute.addr == "" || better(zone, self, c, substitute)) {
			substitute = c
		}
	}
	switch {
	case preferred.addr == "":
		return want
	case substitute.addr == "":
		for _, c := range hosts {
			want[c.addr] = true
		}
		return want
	}
	want[preferred.addr] = true
	want[substitute.addr] = true
	return want
}

// better reports whether an entry host prefers a to b. Hosts of the own zone are
// best; among others, entry hosts spread.
func better(zone, self string, a, b candidate) bool {
	if own, other := a.zone == zone, b.zone == zone; own != other {
		return own
	}
	return xxhash.Sum64String(self+a.addr) < xxhash.Sum64String(self+b.addr)
}
