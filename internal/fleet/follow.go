package fleet

import "github.com/cespare/xxhash/v2"

// candidate is a control host that an entry host may follow.
type candidate struct {
	addr    string
	zone    string
	open    bool // it is followed now
	current bool // it is in touch with a quorum
}

// follow returns the control hosts that an entry host follows: the best one, or
// while that one is not open or not in touch with a quorum, all of them. The
// best is in the own availability zone; hosts spread over several there.
func follow(zone, self string, hosts []candidate) map[string]bool {
	want := map[string]bool{}
	best := candidate{}
	for _, c := range hosts {
		if best.addr == "" || better(zone, self, c, best) {
			best = c
		}
	}
	if best.open && best.current {
		return map[string]bool{best.addr: true}
	}
	for _, c := range hosts {
		want[c.addr] = true
	}
	return want
}

func better(zone, self string, a, b candidate) bool {
	if fit, other := a.open && a.current, b.open && b.current; fit != other {
		return fit
	}
	if own, other := a.zone == zone, b.zone == zone; own != other {
		return own
	}
	return xxhash.Sum64String(self+a.addr) < xxhash.Sum64String(self+b.addr)
}
