package conntrack

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"time"

	"greengagequay/internal/steering"
)

// key identifies a flow whose addresses are IPv4.
type key struct {
	caller, route uint32 // addresses
	ports         uint32 // of the caller and of the route
}

// keyOf returns the key of a flow. It returns false if an address is not IPv4.
func keyOf(caller, route netip.AddrPort) (key, bool) {
	if !caller.Addr().Is4() || !route.Addr().Is4() {
		return key{}, false
	}
	c, r := caller.Addr().As4(), route.Addr().As4()
	return key{
		caller: binary.BigEndian.Uint32(c[:]), route: binary.BigEndian.Uint32(r[:]),
		ports: uint32(caller.Port())<<16 | uint32(route.Port()),
	}, true
}

func (k key) routeAddr() netip.AddrPort { return addrPort(k.route, uint16(k.ports)) }

func (k key) flow() steering.Flow {
	return steering.Flow{Caller: addrPort(k.caller, uint16(k.ports>>16)), Route: k.routeAddr()}
}

func addrPort(addr uint32, port uint16) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], addr)
	return netip.AddrPortFrom(netip.AddrFrom4(b), port)
}

// stamp is a time in units of stampUnit. It wraps around after 4.9 days, so only
// differences of stamps mean something.
type stamp uint32

const stampUnit = 100 * time.Microsecond

func stampOf(now time.Duration) stamp { return stamp(now / stampUnit) }

// since returns the time from an earlier stamp to s.
func (s stamp) since(earlier stamp) time.Duration { return time.Duration(s-earlier) * stampUnit }

// flags are properties of a flow.
type flags uint8

const (
	opening   flags = 1 << iota // only opening packets were seen
	begun                       // this host saw its opening packet
	sequenced                   // sentEnd and ack are set
	pending                     // a request waits for its answer
	unseen                      // a request whose begin was not seen, or whose wait was void, may wait for its answer
	more                        // the last packet with new data was full, so the next one may belong to the same request
	closed                      // the caller has sent FIN
)

// The lists that hold flows. Each is a ring that begins and ends at flow 0, which
// holds no flow.
const (
	byUse   = iota // all flows, the one that was idle longest first
	byWait         // flows that wait for a packet: opening, pending or closed
	listsOf        // number of lists
)

type links struct{ previous, next uint32 }

// flow is the state of one flow, 64 bytes at most.
type flow struct {
	key     key
	token   steering.Token
	server  uint32 // index in Table.servers, 0 if the place is free
	sentEnd uint32 // number of the byte after the last one that the caller sent
	ack     uint32 // highest acknowledgement number
	firstAt stamp  // when the flow was first seen
	usedAt  stamp  // when the flow moved to the end of byUse
	waitAt  stamp  // begin of the opening, of the request or of the retention of a closed flow
	lists   [listsOf]links
	flags   flags
	copies  uint8 // retransmissions of the opening packet
}

func (f *flow) has(x flags) bool { return f.flags&x != 0 }

// waits reports whether the flow is in the list byWait.
func (f *flow) waits() bool { return f.has(opening | pending | closed) }

// slot returns the place in the index at which the search for a key begins.
func (t *Table) slot(k key) uint32 {
	high, low := bits.Mul64(uint64(k.caller)<<32|uint64(k.route)^t.cfg.Seed, uint64(k.ports)<<32^t.cfg.Seed|1)
	return uint32(high^low) & t.mask
}

// find returns the flow with a key, or 0.
func (t *Table) find(k key) uint32 {
	for s := t.slot(k); ; s = (s + 1) & t.mask {
		i := t.index[s]
		if i == 0 || t.flows[i].key == k {
			return i
		}
	}
}

// add adds a flow that is not in the table.
func (t *Table) add(now time.Duration, k key, s *steering.Server) uint32 {
	if t.count >= t.cfg.MaxFlows {
		t.remove(t.flows[0].lists[byUse].next)
	}
	if 2*(t.count+1) > len(t.index) {
		t.growIndex()
	}
	i := t.free
	if i != 0 {
		t.free = t.flows[i].sentEnd
	} else {
		t.flows = append(t.flows, flow{})
		i = uint32(len(t.flows) - 1)
	}
	at := stampOf(now)
	t.flows[i] = flow{key: k, token: s.Token, server: t.servers.acquire(s), firstAt: at, usedAt: at}
	t.count++
	t.insert(i)
	t.append(byUse, i)
	return i
}

func (t *Table) insert(i uint32) {
	s := t.slot(t.flows[i].key)
	for t.index[s] != 0 {
		s = (s + 1) & t.mask
	}
	t.index[s] = i
}

func (t *Table) growIndex() {
	old := t.index
	t.index = make([]uint32, 2*len(old))
	t.mask = uint32(len(t.index) - 1)
	for _, i := range old {
		if i != 0 {
			t.insert(i)
		}
	}
}

// remove removes a flow.
func (t *Table) remove(i uint32) {
	f := &t.flows[i]
	t.removeFromIndex(f.key)
	t.unlink(byUse, i)
	if f.waits() {
		t.unlink(byWait, i)
	}
	t.servers.release(f.server)
	*f = flow{sentEnd: t.free} // free places form a list
	t.free = i
	t.count--
}

// removeFromIndex removes a key and moves the ones behind it, so that no search ends
// at the free place.
func (t *Table) removeFromIndex(k key) {
	s := t.slot(k)
	for t.flows[t.index[s]].key != k {
		s = (s + 1) & t.mask
	}
	gap := s
	for next := (s + 1) & t.mask; t.index[next] != 0; next = (next + 1) & t.mask {
		home := t.slot(t.flows[t.index[next]].key)
		if (next-home)&t.mask >= (next-gap)&t.mask {
			t.index[gap] = t.index[next]
			gap = next
		}
	}
	t.index[gap] = 0
}

func (t *Table) unlink(list int, i uint32) {
	l := t.flows[i].lists[list]
	t.flows[l.previous].lists[list].next = l.next
	t.flows[l.next].lists[list].previous = l.previous
}

// append adds a flow at the end of a list.
func (t *Table) append(list int, i uint32) {
	last := t.flows[0].lists[list].previous
	t.flows[i].lists[list] = links{previous: last}
	t.flows[last].lists[list].next = i
	t.flows[0].lists[list].previous = i
}

// wait sets the flag of what a flow waits for from now on, in place of any other.
func (t *Table) wait(now time.Duration, i uint32, x flags) {
	t.endWait(i)
	f := &t.flows[i]
	f.flags |= x
	f.waitAt = stampOf(now)
	t.append(byWait, i)
}

// endWait clears the flags of what a flow waits for.
func (t *Table) endWait(i uint32) {
	f := &t.flows[i]
	if f.waits() {
		t.unlink(byWait, i)
		f.flags &^= opening | pending | closed
	}
}
