package catalog

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const interval = time.Second

func newCatalog(self string) *Catalog { return New(Config{Self: self, Interval: interval}) }

func heartbeat(id string, born int64, sequence uint64) Heartbeat {
	return Heartbeat{
		ID: id, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 2,
		Born: born, Sequence: sequence,
	}
}

func draining(h Heartbeat) Heartbeat {
	h.Draining = true
	return h
}

// departure is a call that says which start departs.
type departure struct {
	id   string
	born int64
}

// statuses returns "id=status" of all records, in order.
func statuses(c *Catalog) string {
	var list []string
	for _, r := range c.Since(0, "") {
		list = append(list, fmt.Sprintf("%s=%v", r.ID, r.Status))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func TestHear(t *testing.T) {
	tests := []struct {
		name  string
		calls []any // Heartbeat, departure, or the ID of a backend server that leaves without a start
		want  string
	}{
		{"ready", []any{heartbeat("x", 1, 1)}, "x=ready"},
		{"draining", []any{heartbeat("x", 1, 1), draining(heartbeat("x", 1, 2))}, "x=draining"},
		{"late ready after draining", []any{draining(heartbeat("x", 1, 2)), heartbeat("x", 1, 1)}, "x=draining"},
		{"draining is not revoked", []any{draining(heartbeat("x", 1, 2)), heartbeat("x", 1, 3)}, "x=draining"},
		{"draining ends with a new start", []any{draining(heartbeat("x", 1, 9)), heartbeat("x", 2, 1)}, "x=ready"},
		{"late call of an earlier start", []any{heartbeat("x", 2, 1), draining(heartbeat("x", 1, 9))}, "x=ready"},
		{"leaves", []any{draining(heartbeat("x", 1, 2)), departure{"x", 1}}, "x=gone"},
		{"late heartbeat after it left", []any{draining(heartbeat("x", 1, 2)), departure{"x", 1}, draining(heartbeat("x", 1, 4))}, "x=gone"},
		{"departure without a start, maybe of an earlier one", []any{draining(heartbeat("x", 1, 2)), "x"}, "x=draining"},
		{"departure of an earlier start", []any{draining(heartbeat("x", 2, 2)), departure{"x", 1}}, "x=draining"},
		{"late departure of an earlier start", []any{heartbeat("x", 2, 1), "x", heartbeat("x", 2, 2), heartbeat("x", 2, 3)}, "x=ready"},
		{"address taken over", []any{heartbeat("x", 1, 5), heartbeat("y", 2, 1)}, "x=gone y=ready"},
		{"late heartbeat from a taken address", []any{heartbeat("y", 2, 1), heartbeat("x", 1, 5)}, "x=gone y=ready"},
		{"late heartbeat after the address was taken", []any{heartbeat("x", 1, 5), heartbeat("y", 2, 1), heartbeat("x", 1, 6)}, "x=gone y=ready"},
		{"late departure of an earlier start resets no flow", []any{draining(heartbeat("x", 1, 4)), heartbeat("x", 2, 1), "x"}, "x=ready"},
		{"unknown backend server leaves", []any{"x"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCatalog("c1")
			for _, call := range tt.calls {
				switch call := call.(type) {
				case Heartbeat:
					c.ReceiveHeartbeat(0, call)
				case departure:
					c.Leave(0, call.id, call.born)
				case string:
					c.Leave(0, call, 0)
				}
			}
			qt.Assert(t, statuses(c), qt.Equals, tt.want)
		})
	}
}

// Guards against announcements that are acknowledged and ignored after a clock was set back.
func TestStartAfterTheClockWasSetBack(t *testing.T) {
	c := qt.New(t)
	hosts := []*Catalog{newCatalog("c1"), newCatalog("c2"), newCatalog("")}
	sync := func(now time.Duration) {
		for _, to := range hosts[1:] {
			to.Merge(now, "c1", hosts[0].Since(0, ""))
		}
	}
	owner := hosts[0]
	owner.ReceiveHeartbeat(0, heartbeat("x", 2000, 7))
	sync(0)
	again := heartbeat("x", 1000, 1)
	c.Assert(owner.IsOfEarlierStart(interval, again), qt.IsTrue, qt.Commentf("the later start may still run"))
	owner.ReceiveHeartbeat(interval, again)
	c.Assert(owner.Since(0, "")[0].Born, qt.Equals, int64(2000))

	tickTo(owner, interval, 3*interval)
	c.Assert(statuses(owner), qt.Equals, "x=silent")
	sync(3 * interval)
	again.Sequence++
	c.Assert(owner.IsOfEarlierStart(3*interval, again), qt.IsFalse)
	owner.ReceiveHeartbeat(3*interval, again)
	sync(3 * interval)
	last := draining(heartbeat("x", 1000, 3))
	c.Assert(owner.IsOfEarlierStart(4*interval, last), qt.IsFalse)
	owner.ReceiveHeartbeat(4*interval, last)
	sync(4 * interval)
	for _, k := range hosts {
		c.Check(statuses(k), qt.Equals, "x=draining")
		c.Check(k.Since(0, "")[0].Born, qt.Equals, int64(1000))
	}
	c.Assert(owner.IsOfEarlierStart(4*interval, heartbeat("x", 3000, 1)), qt.IsFalse)
	owner.ReceiveHeartbeat(4*interval, heartbeat("x", 3000, 1))
	sync(4 * interval)
	for _, k := range hosts {
		c.Check(statuses(k), qt.Equals, "x=ready", qt.Commentf("the next start has a higher time again"))
	}
}

// Guards against an entry host that takes a server for gone, since its address is freed later in the same update.
func TestOrderOfRecordsInAnUpdate(t *testing.T) {
	first, later := Record{Heartbeat: heartbeat("x", 1, 1)}, Record{Heartbeat: heartbeat("f", 2, 1)}
	freed := later
	freed.Status = Gone
	again := first
	again.Sequence++
	for _, update := range [][]Record{{again, freed}, {freed, again}} {
		k := newCatalog("")
		k.Merge(0, "c1", []Record{first, later})
		qt.Assert(t, statuses(k), qt.Equals, "f=ready x=gone")
		k.Merge(0, "c1", update)
		qt.Check(t, statuses(k), qt.Equals, "f=gone x=ready")
	}
}

func TestDepartureOfOneStart(t *testing.T) {
	tests := []struct {
		name string
		born int64
		want string
	}{
		{"of the latest start", 2, "x=gone"},
		{"of an earlier start", 1, "x=ready"},
		{"of an unknown start", 0, "x=ready"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCatalog("c1")
			c.ReceiveHeartbeat(0, heartbeat("x", 2, 1))
			c.Leave(0, "x", tt.born)
			qt.Assert(t, statuses(c), qt.Equals, tt.want)
		})
	}
}

func TestOnlyChangesAreReported(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("c1")
	c.Assert(k.ReceiveHeartbeat(0, heartbeat("x", 1, 1)), qt.IsTrue)
	c.Assert(k.ReceiveHeartbeat(interval, heartbeat("x", 1, 2)), qt.IsFalse)
	revision := k.Revision()
	c.Assert(k.ReceiveHeartbeat(2*interval, draining(heartbeat("x", 1, 3))), qt.IsTrue)
	c.Assert(k.Since(revision, ""), qt.HasLen, 1)
	c.Assert(k.Since(k.Revision(), ""), qt.HasLen, 0)
}

func TestRecordsAreNotSentBackToTheirSender(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("c1")
	k.Merge(0, "c2", []Record{{Heartbeat: heartbeat("x", 1, 1), Owner: "c2"}})
	c.Assert(k.Since(0, "c2"), qt.HasLen, 0)
	c.Assert(k.Since(0, "c3"), qt.HasLen, 1)
}

func TestSilence(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("c1")
	k.ReceiveHeartbeat(0, heartbeat("x", 1, 1))
	k.Tick(interval / 2)
	k.Tick(interval)
	k.Tick(3 * interval / 2)
	k.Tick(5 * interval / 2)
	c.Assert(statuses(k), qt.Equals, "x=ready")
	c.Assert(k.Tick(11*interval/4), qt.IsTrue)
	c.Assert(statuses(k), qt.Equals, "x=silent")
	k.ReceiveHeartbeat(3*interval, heartbeat("x", 1, 2))
	c.Assert(statuses(k), qt.Equals, "x=ready")
}

// A suspended host does not receive the heartbeats sent during the suspension,
// so it must not count that time as silence.
func TestNotSilentAfterSuspensionOfThisHost(t *testing.T) {
	k := newCatalog("c1")
	k.ReceiveHeartbeat(0, heartbeat("x", 1, 1))
	k.Tick(interval / 2)
	k.Tick(30 * interval)
	qt.Assert(t, statuses(k), qt.Equals, "x=ready")
}

// tickTo calls Tick often enough that no gap counts as a pause of the host.
func tickTo(k *Catalog, from, to time.Duration) {
	for now := from; now <= to; now += interval / 4 {
		k.Tick(now)
	}
}

func TestOwnerReportsSilence(t *testing.T) {
	c := qt.New(t)
	ready := Record{Heartbeat: heartbeat("x", 1, 1), Owner: "c2"}
	k := newCatalog("c1")
	k.SetConnected(0, "c2", true)
	k.Merge(0, "c2", []Record{ready})
	tickTo(k, 0, 20*interval)
	c.Assert(statuses(k), qt.Equals, "x=ready", qt.Commentf("its owner is connected and has not reported it as silent"))

	silent := ready
	silent.Status = Silent
	k.Merge(20*interval, "c3", []Record{silent})
	c.Assert(statuses(k), qt.Equals, "x=ready", qt.Commentf("c3 may have lost its connection to the owner"))
	k.Merge(20*interval, "c2", []Record{silent})
	c.Assert(statuses(k), qt.Equals, "x=silent")
	k.Merge(20*interval, "c2", []Record{ready})
	c.Assert(statuses(k), qt.Equals, "x=ready")
}

func TestLostOwner(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("c1")
	k.SetConnected(0, "c2", true)
	k.Merge(0, "c2", []Record{{Heartbeat: heartbeat("x", 1, 1), Owner: "c2"}})
	tickTo(k, 0, 10*interval)
	k.SetConnected(10*interval, "c2", false)
	tickTo(k, 10*interval, 12*interval)
	c.Assert(statuses(k), qt.Equals, "x=ready", qt.Commentf("the backend server has time to announce itself to another control host"))
	tickTo(k, 12*interval, 13*interval)
	c.Assert(statuses(k), qt.Equals, "x=silent")
}

func TestGoneRecordsAreRemoved(t *testing.T) {
	k := newCatalog("c1")
	k.ReceiveHeartbeat(0, draining(heartbeat("x", 1, 1)))
	k.Leave(0, "x", 0)
	tickTo(k, 0, removeAfter+interval)
	qt.Assert(t, statuses(k), qt.Equals, "")
}

// An entry host receives no heartbeats, so it calls RemoveExpired instead of Tick
// and must keep records that are ready.
func TestRemoveExpiredKeepsReadyRecords(t *testing.T) {
	c := qt.New(t)
	k := newCatalog("")
	k.Merge(0, "c1", []Record{
		{Heartbeat: heartbeat("x", 1, 1), Owner: "c1"},
		{Heartbeat: Heartbeat{ID: "y", Address: netip.MustParseAddrPort("10.0.0.2:80")}, Status: Silent, Owner: "c1"},
	})
	k.RemoveExpired(removeAfter)
	c.Assert(statuses(k), qt.Equals, "x=ready y=silent")
	k.RemoveExpired(removeAfter + 1)
	c.Assert(statuses(k), qt.Equals, "x=ready")
}

// With any order of delivery, all catalogs converge to the state of the last
// start and announcement of each backend server.
func TestCatalogsAgree(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		names := []string{"c1", "c2", "c3"}
		var hosts []*Catalog
		for i, name := range names {
			hosts = append(hosts, newCatalog(name))
			for j, other := range names {
				hosts[i].SetConnected(0, other, i != j)
			}
		}
		want := map[string]Heartbeat{}
		for i := range 40 {
			h := heartbeat(fmt.Sprintf("b%d", rng.IntN(4)), int64(rng.IntN(3)), uint64(rng.IntN(10)))
			h.Address = netip.MustParseAddrPort("10.0.0.1:" + h.ID[1:] + "1")
			h.Draining = h.Sequence >= 7 // within one start draining comes last
			hosts[i%3].ReceiveHeartbeat(0, h)
			last, ok := want[h.ID]
			if !ok || h.Born > last.Born || h.Born == last.Born && h.Sequence > last.Sequence {
				want[h.ID] = h
			}
			exchange(hosts, names, rng)
		}
		for range 4 {
			exchange(hosts, names, nil)
		}
		for _, k := range hosts {
			for _, r := range k.Since(0, "") {
				qt.Assert(t, r.Born, qt.Equals, want[r.ID].Born, qt.Commentf("seed %d", seed))
				qt.Assert(t, r.Status == Draining, qt.Equals, want[r.ID].Draining, qt.Commentf("seed %d", seed))
			}
		}
	}
}

// exchange merges the records of each host into each other host. With a random
// source, it does so for a random third of the pairs.
func exchange(hosts []*Catalog, names []string, rng *rand.Rand) {
	for i, from := range hosts {
		for j, to := range hosts {
			if i != j && (rng == nil || rng.IntN(3) == 0) {
				to.Merge(0, names[i], from.Since(0, names[j]))
			}
		}
	}
}

// After a restart of control hosts each backend server has another owner. Only
// control hosts need to know that.
func TestOwnerChangesAreNotForEntryHosts(t *testing.T) {
	c := qt.New(t)
	known := newCatalog("c1")
	known.ReceiveHeartbeat(0, heartbeat("x", 1, 1))
	all, steering := known.Revision(), known.SteeringRevision()
	known.Merge(0, "c2", []Record{{Heartbeat: heartbeat("x", 1, 2), Owner: "c2"}})
	c.Assert(known.Since(all, ""), qt.HasLen, 1)
	c.Assert(known.SteeringRevision(), qt.Equals, steering)
	c.Assert(known.SteeringSince(steering), qt.HasLen, 0)
	known.Merge(0, "c2", []Record{{Heartbeat: heartbeat("x", 1, 3), Status: Draining, Owner: "c2"}})
	c.Assert(known.SteeringSince(steering), qt.HasLen, 1)
	c.Assert(known.SteeringRevision(), qt.Equals, known.Revision())
}
