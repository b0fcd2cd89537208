// Package warmup bounds the new flows of a cold backend server: one that has just
// started, or that has been without work, and is slow for a short time. Only the few
// entry hosts that an Admission names open flows to it, and each of them limits its
// own rate with a Gate, so the bound also holds while hosts cannot reach each other.
// The package uses no I/O, clock or global random source.
package warmup

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bound is the limit of new flows to a cold backend server, over all entry hosts.
type Bound struct {
	Overage float64 // factor of the rate that the service names
	Slack   int     // new flows a second on top of that
}

// maxPerSecond limits the result of PerSecond, since a document may contain any rate.
const maxPerSecond = 1 << 20

// PerSecond returns the largest number of new flows in any second, for a service that
// names a rate of new flows a second. 0 means that there is no bound; a bound that is
// set is at least 1.
func (b Bound) PerSecond(rate float64) int {
	if b.Overage <= 0 && b.Slack <= 0 {
		return 0
	}
	return int(min(max(1, math.Floor(rate*b.Overage+float64(b.Slack))), maxPerSecond))
}

// Admission names the entry hosts that may open flows to a cold backend server.
type Admission struct {
	Hosts []string `cbor:",omitempty"` // feed addresses
	Each  int      `cbor:",omitempty"` // new flows a second of each of them
	// Generation counts the admissions of one start of a backend server. The latest one
	// is in force.
	Generation uint32
	Final      bool `cbor:",omitempty"` // whether no other admission may follow until the backend server is warm
}

// Past returns what control hosts need of an admission whose warm-up is over: its
// generation, which the next one exceeds.
func (a *Admission) Past() *Admission { return &Admission{Generation: a.Generation} }

// NamesHosts reports whether the admission names hosts. One that is past does not.
func (a *Admission) NamesHosts() bool { return len(a.Hosts) > 0 }

// generations is the number of admissions for one warm-up that may be in force at
// once: a host that is cut off keeps the first one after a second was made.
const generations = 2

// shareOf returns the number of new flows a second that one admission distributes.
func shareOf(perSecond int) int { return max(1, perSecond/generations) }

// HasSpare reports whether a bound leaves room for a second admission while the first
// one may still be in force.
func HasSpare(perSecond int) bool { return generations*shareOf(perSecond) <= perSecond }

// EachWithin returns the number of new flows a second of each host if the bound has
// changed since the admission was made. It is never above Each.
func (a *Admission) EachWithin(perSecond int) int {
	if len(a.Hosts) == 0 {
		return 0
	}
	return min(a.Each, shareOf(perSecond)/len(a.Hosts))
}

// Latest returns the admission in force out of two of one start of a backend server,
// either of which may be nil. Control hosts that cannot reach each other may make
// different admissions of one generation: then one of them is in force, on all hosts the
// same one, and no other may follow, since some entry hosts may keep the other one.
func Latest(a, b *Admission) *Admission {
	switch {
	case a == nil:
		return b
	case b == nil || a.Generation > b.Generation:
		return a
	case b.Generation > a.Generation || b.NamesHosts() && !a.NamesHosts():
		return b
	case !b.NamesHosts():
		return a
	}
	order := cmp.Or(slices.Compare(a.Hosts, b.Hosts), cmp.Compare(a.Each, b.Each))
	if order > 0 {
		a = b
	}
	if a.Final || order == 0 && !b.Final {
		return a
	}
	final := *a
	final.Final = true
	return &final
}

// Host is an entry host that can be admitted.
type Host struct {
	Addr string // feed address
	Zone string
}

// maxHosts limits the hosts of one admission, which are part of the record of the
// backend server on every host. A service with a bound of 80 has 8 hosts with 5 flows
// a second each.
const maxHosts = 8

// Assign returns the admission for a backend server with a bound. It prefers hosts of
// the backend server's zone, and orders them by rendezvous hashing, so that two control
// hosts that know the same entry hosts choose the same ones.
func Assign(id, zone string, hosts []Host, perSecond int) Admission {
	if perSecond <= 0 || len(hosts) == 0 {
		return Admission{}
	}
	share := shareOf(perSecond)
	each := (share + maxHosts - 1) / maxHosts
	n := min(share/each, len(hosts))
	a := Admission{Each: share / n}
	for _, c := range preferred(id, zone, hosts, n) {
		a.Hosts = append(a.Hosts, c.host.Addr)
	}
	slices.Sort(a.Hosts)
	return a
}

// candidate is a host with its preference for one backend server.
type candidate struct {
	host  Host
	local bool // whether it is in the zone of the backend server
	score uint64
}

func (c candidate) before(other candidate) bool {
	if c.local != other.local {
		return c.local
	}
	return cmp.Or(cmp.Compare(other.score, c.score), strings.Compare(c.host.Addr, other.host.Addr)) < 0
}

// preferred returns the n hosts that come first for a backend server.
func preferred(id, zone string, hosts []Host, n int) []candidate {
	best := make([]candidate, 0, n+1)
	for _, h := range hosts {
		c := candidate{host: h, local: h.Zone == zone, score: xxhash.Sum64String(id + "\x00" + h.Addr)}
		at := len(best)
		for at > 0 && c.before(best[at-1]) {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, c)
			best = best[:min(n, len(best))]
		}
	}
	return best
}

// gateWindow is the interval in which a Gate counts flows. It exceeds one second by
// more than the delays of packets differ between a host and a backend server.
const gateWindow = 1100 * time.Millisecond

// Gate counts the flows that one entry host opened to cold backend servers. The zero
// value is ready for use. It is not safe for concurrent use.
type Gate struct {
	byID map[string]*gateEntry
}

// gateEntry holds the flows of the last gateWindow to one backend server.
type gateEntry struct {
	born  int64           // start of the backend server
	times []time.Duration // ascending
}

// Allows reports whether another flow to a backend server is within each flows a
// second.
func (g *Gate) Allows(now time.Duration, id string, born int64, each int) bool {
	if each <= 0 {
		return false
	}
	e := g.byID[id]
	if e == nil || e.born != born || len(e.times) < each {
		return true
	}
	return now-e.times[len(e.times)-each] > gateWindow
}

// Record records a flow to a backend server.
func (g *Gate) Record(now time.Duration, id string, born int64) {
	if g.byID == nil {
		g.byID = map[string]*gateEntry{}
	}
	e := g.byID[id]
	if e == nil || e.born != born {
		e = &gateEntry{born: born}
		g.byID[id] = e
	}
	e.expire(now)
	e.times = append(e.times, now)
}

// Expire deletes the backend servers without a flow in the last gateWindow.
func (g *Gate) Expire(now time.Duration) {
	for id, e := range g.byID {
		if e.expire(now); len(e.times) == 0 {
			delete(g.byID, id)
		}
	}
}

func (e *gateEntry) expire(now time.Duration) {
	old := 0
	for old < len(e.times) && now-e.times[old] > gateWindow {
		old++
	}
	e.times = slices.Delete(e.times, 0, old)
}
