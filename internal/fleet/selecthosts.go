package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"greengagequay/internal/feed"
)

// candidate is a control host that an entry host may follow.
type candidate struct {
	addr      string
	zone      string
	connected bool // whether there is a connection to it, and it has identified itself
	current   bool // whether it reaches a quorum
	sync      feed.SyncState
}

// synced reports whether this entry host has its state and receives its updates.
func (c candidate) synced() bool { return c.connected && c.sync == feed.Synced }

// sending reports whether the host is sending its state.
func (c candidate) sending() bool { return c.sync == feed.Syncing }

// sufficient reports whether it is enough to follow this host alone.
func (c candidate) sufficient() bool { return c.synced() && c.current }

// selectHosts returns the control hosts that an entry host follows: the preferred
// one and, if that one is not sufficient, the preferred one of those that are. If
// no host is sufficient, it returns all. A preferred host that does not reach a
// quorum is still followed, since it may receive announcements that reach no other
// control host.
func selectHosts(zone, self string, hosts []candidate) map[string]bool {
	selected := map[string]bool{}
	preferred, substitute := candidate{}, candidate{}
	for _, c := range hosts {
		if preferred.addr == "" || prefers(zone, self, c, preferred) {
			preferred = c
		}
		if c.sufficient() && (substitute.addr == "" || prefers(zone, self, c, substitute)) {
			substitute = c
		}
	}
	switch {
	case preferred.addr == "":
		return selected
	case substitute.addr == "":
		for _, c := range hosts {
			selected[c.addr] = true
		}
		return selected
	}
	selected[preferred.addr] = true
	selected[substitute.addr] = true
	return selected
}

// demandCounter returns the address of the connected host that counts the demand of this
// entry host, or "" if none is connected. Hosts that reach a quorum come first, since
// others may not be able to exchange demand.
func demandCounter(zone, self string, hosts []candidate) string {
	counter := candidate{}
	for _, c := range hosts {
		if c.connected && (counter.addr == "" || syncsBefore(zone, self, c, counter)) {
			counter = c
		}
	}
	return counter.addr
}

// nextSync returns the address of the host that should send its state next, or ""
// if none should now. On a slow link the states of several hosts would delay each
// other, so a host is only asked once no other one is sending.
func nextSync(zone, self string, hosts []candidate) string {
	if slices.ContainsFunc(hosts, candidate.sending) {
		return ""
	}
	next := candidate{}
	for _, c := range hosts {
		if !c.connected || c.sync != feed.NotRequested {
			continue
		}
		if next.addr == "" || syncsBefore(zone, self, c, next) {
			next = c
		}
	}
	return next.addr
}

// syncsBefore reports whether a should send its state before b: hosts that reach a
// quorum come first, then the preferred ones.
func syncsBefore(zone, self string, a, b candidate) bool {
	if a.current != b.current {
		return a.current
	}
	return prefers(zone, self, a, b)
}

// prefers reports whether an entry host prefers a to b. Hosts of its own zone come
// first. Otherwise a hash decides, so that entry hosts spread over control hosts.
func prefers(zone, self string, a, b candidate) bool {
	if own, other := a.zone == zone, b.zone == zone; own != other {
		return own
	}
	return xxhash.Sum64String(self+a.addr) < xxhash.Sum64String(self+b.addr)
}
