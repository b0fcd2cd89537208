package catalog

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry host that takes a backend server for silent, and drops its packets
// later, although its owner says that it is ready. The entry host follows the owner and, while
// the owner has no quorum, another control host too. That one has lost the owner and takes its
// backend servers for silent, with a later sequence number than the entry host knows.
func TestOwnerDecidesWhateverTheSequence(t *testing.T) {
	c := qt.New(t)
	const interval = 770 * time.Millisecond
	owner := New(Config{Self: "owner", Interval: interval})
	other := New(Config{Self: "other", Interval: interval})
	entry := New(Config{Interval: interval})
	h := Heartbeat{ID: "i-1", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Slots: 1, Born: 1, Sequence: 1}

	owner.ReceiveHeartbeat(0, h)
	entry.SetConnected(0, "owner", true)
	entry.Merge(0, "owner", owner.SteeringSince(0))
	told := owner.SteeringRevision()
	h.Sequence = 5 // heartbeats that change nothing are not sent on
	owner.ReceiveHeartbeat(4*interval, h)
	for now := time.Duration(0); now < 4*interval; now += interval / 2 {
		other.Tick(now)
	}
	other.SetConnected(4*interval, "owner", true) // the other one starts later, and gets the whole state
	other.Merge(4*interval, "owner", owner.Since(0, "other"))

	other.SetConnected(5*interval, "owner", false) // the owner is cut off from the core, not from the entry host
	for now := 4 * interval; now < 9*interval; now += interval / 2 {
		other.Tick(now)
	}
	entry.SetConnected(9*interval, "other", true)
	entry.Merge(9*interval, "other", other.SteeringSince(0))
	entry.SetConnected(10*interval, "other", false) // the cut has healed
	entry.Merge(10*interval, "owner", owner.SteeringSince(told))

	c.Assert(entry.entries["i-1"].Status, qt.Equals, Ready)
	entry.RemoveExpired(120 * time.Second)
	c.Assert(entry.entries["i-1"], qt.IsNotNil)
}

// ownerWithOldHint returns the catalog of control host "before" with backend server x, and
// the records of its hint file, which were saved before the latest announcement.
func ownerWithOldHint() (before *Catalog, hint []Record) {
	before = newCatalog("before")
	before.ReceiveHeartbeat(0, heartbeat("x", 1, 3))
	hint = before.Since(0, "")
	before.ReceiveHeartbeat(interval, heartbeat("x", 1, 5))
	return before, hint
}

// follow connects an entry host to a control host, which sends its whole state.
func follow(entry, host *Catalog, now time.Duration) {
	entry.SetConnected(now, host.cfg.Self, true)
	entry.Merge(now, host.cfg.Self, host.SteeringSince(0))
}

// Guards against an entry host that takes a live backend server for silent, and drops its
// packets later, since all control hosts restarted from hint files with an earlier sequence
// number: what they hear after that changes nothing for them, and is not sent.
func TestEntryHostBelievesARestartedOwner(t *testing.T) {
	c := qt.New(t)
	before, hint := ownerWithOldHint()
	after, entry := newCatalog("after"), newCatalog("")
	tickTo(before, 0, 4*interval)
	follow(entry, before, 4*interval)
	c.Assert(statuses(entry), qt.Equals, "x=silent")
	entry.SetConnected(4*interval, "before", false)

	after.Merge(5*interval, "", hint)
	follow(entry, after, 5*interval)
	sent := after.SteeringRevision()
	after.ReceiveHeartbeat(6*interval, heartbeat("x", 1, 9))
	entry.Merge(6*interval, "after", after.SteeringSince(sent))
	c.Assert(statuses(entry), qt.Equals, "x=ready")
}

// Guards against an entry host that takes a backend server for ready that has been silent
// since all control hosts restarted from hint files with an earlier sequence number.
func TestEntryHostBelievesThatARestartedOwnerHearsNothing(t *testing.T) {
	c := qt.New(t)
	before, hint := ownerWithOldHint()
	after, entry := newCatalog("after"), newCatalog("")
	follow(entry, before, interval)
	entry.SetConnected(interval, "before", false)

	after.Tick(2 * interval)
	after.Merge(2*interval, "", hint)
	follow(entry, after, 2*interval)
	c.Assert(statuses(entry), qt.Equals, "x=ready")
	tickTo(after, 2*interval, 6*interval)
	entry.Merge(6*interval, "after", after.SteeringSince(0))
	c.Assert(statuses(entry), qt.Equals, "x=silent")
	after.ReceiveHeartbeat(7*interval, heartbeat("x", 1, 15))
	entry.Merge(7*interval, "after", after.SteeringSince(0))
	c.Assert(statuses(entry), qt.Equals, "x=ready")
}

// Guards against an entry host that believes an earlier record although the control host
// that knows better is connected, or although the backend server drains.
func TestEarlierRecordsOfOthersChangeNothing(t *testing.T) {
	c := qt.New(t)
	owner, other, entry := newCatalog("owner"), newCatalog("other"), newCatalog("")
	owner.ReceiveHeartbeat(0, heartbeat("x", 1, 3))
	second := heartbeat("y", 1, 3)
	second.Address = netip.MustParseAddrPort("10.0.0.2:80")
	owner.ReceiveHeartbeat(0, second)
	other.SetConnected(0, "owner", true)
	other.Merge(0, "owner", owner.Since(0, ""))
	second.Sequence = 5
	owner.ReceiveHeartbeat(interval, heartbeat("x", 1, 5))
	owner.ReceiveHeartbeat(interval, draining(second))
	tickTo(owner, 0, 5*interval)
	follow(entry, owner, 5*interval)
	follow(entry, other, 5*interval)
	c.Assert(statuses(entry), qt.Equals, "x=silent y=draining")
	entry.SetConnected(6*interval, "owner", false)
	entry.Merge(6*interval, "other", other.SteeringSince(0))
	c.Assert(statuses(entry), qt.Equals, "x=ready y=draining")
}
