package catalog

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOneServerPerAddress plays random announcements, departures, merges and
// expiry with few ids and addresses. After each, every address must have at most
// one backend server that is not gone, and the index must name it.
func TestOneServerPerAddress(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := newCatalog("c1")
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rng.IntN(3000)) * time.Millisecond
			h := heartbeat(fmt.Sprint("s", rng.IntN(6)), rng.Int64N(8), rng.Uint64N(20))
			h.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rng.IntN(4))}), 80)
			h.Draining = rng.IntN(4) == 0
			switch rng.IntN(5) {
			case 0:
				c.Leave(now, h.ID, 0)
			case 1:
				c.Merge(now, "c2", []Record{{Heartbeat: h, Status: Status(rng.IntN(int(Gone) + 1)), Owner: "c2"}})
			case 2:
				c.Tick(now)
			default:
				c.ReceiveHeartbeat(now, h)
			}
			checkAddresses(t, c, seed)
		}
	}
}

func checkAddresses(t *testing.T, c *Catalog, seed uint64) {
	t.Helper()
	used := map[netip.AddrPort]*entry{}
	for _, e := range c.entries {
		if e.Status == Gone {
			continue
		}
		qt.Assert(t, used[e.Address], qt.IsNil, qt.Commentf("seed %d: two backend servers at %v", seed, e.Address))
		qt.Assert(t, c.byAddress[e.Address] == e, qt.IsTrue, qt.Commentf("seed %d: %v is not indexed", seed, e.Address))
		used[e.Address] = e
	}
	qt.Assert(t, c.byAddress, qt.HasLen, len(used), qt.Commentf("seed %d", seed))
}

// BenchmarkFirstMerge measures how long a new host takes to merge all records.
func BenchmarkFirstMerge(b *testing.B) {
	for _, n := range []int{300, 3000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var records []Record
			for i := range n {
				h := heartbeat(fmt.Sprint("s", i), 1, 1)
				h.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
				records = append(records, Record{Heartbeat: h, Owner: "c1"})
			}
			for b.Loop() {
				newCatalog("").Merge(0, "c1", records)
			}
		})
	}
}

// Guards against a backend server whose announcements are acknowledged, and that is gone
// all the same for 90 s, since its clock was set back below the start of the one that had
// its address before; and against a delayed announcement that takes an address.
func TestStartBelowThatOfTheLastServerAtItsAddress(t *testing.T) {
	c := qt.New(t)
	owner, cutOff, entry := newCatalog("c1"), newCatalog("c2"), newCatalog("")
	owner.ReceiveHeartbeat(0, heartbeat("before", 2000, 7))
	cutOff.Merge(0, "c1", owner.Since(0, "c2"))
	tickTo(cutOff, 0, 5*interval)
	c.Assert(statuses(cutOff), qt.Equals, "before=silent")
	c.Assert(cutOff.IsAddressTaken(5*interval, heartbeat("x", 1000, 1)), qt.IsTrue, qt.Commentf("it may announce itself to c1"))
	tickTo(owner, 0, 2*interval)
	c.Assert(owner.IsAddressTaken(2*interval, heartbeat("x", 1000, 1)), qt.IsTrue, qt.Commentf("the other one may run"))
	c.Assert(owner.IsAddressTaken(2*interval, heartbeat("x", 3000, 1)), qt.IsFalse)
	c.Assert(owner.IsAddressTaken(2*interval, heartbeat("before", 2000, 8)), qt.IsFalse)
	tickTo(owner, 2*interval, 3*interval)
	c.Assert(owner.IsAddressTaken(3*interval, heartbeat("x", 1000, 2)), qt.IsFalse)
	owner.ReceiveHeartbeat(3*interval, heartbeat("x", 1000, 2))
	entry.Merge(3*interval, "c1", owner.SteeringSince(0))
	for _, k := range []*Catalog{owner, entry} {
		c.Assert(statuses(k), qt.Equals, "before=gone x=ready")
	}
	owner.ReceiveHeartbeat(4*interval, heartbeat("before", 2000, 8))
	c.Assert(statuses(owner), qt.Equals, "before=ready x=gone", qt.Commentf("it was only cut off"))
}

// Guards against a backend server that is rejected for 90 s since the one that left its
// address had a higher start time, and its control host is lost.
func TestAddressOfADepartedServerWhoseOwnerIsLost(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("c1")
	k.SetConnected(0, "c2", true)
	k.Merge(0, "c2", []Record{{Heartbeat: draining(heartbeat("before", 2000, 7)), Status: Draining, Owner: "c2"}})
	k.SetConnected(0, "c2", false)
	tickTo(k, 0, 4*interval)
	c.Assert(k.IsAddressTaken(4*interval, heartbeat("x", 1000, 1)), qt.IsTrue)
	k.Leave(4*interval, "before", 0)
	c.Assert(k.IsAddressTaken(4*interval, heartbeat("x", 1000, 1)), qt.IsFalse)
	k.ReceiveHeartbeat(4*interval, heartbeat("x", 1000, 1))
	c.Assert(statuses(k), qt.Equals, "before=gone x=ready")
}
