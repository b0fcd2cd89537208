package wal

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

var seeds = flag.Int("seeds", 8, "number of seeds for the simulated crashes")

const testID = raft.ID(7)

func newID() raft.ID { return testID }

func entries(term uint64, from, to uint64) []raft.Entry {
	var out []raft.Entry
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Data: bytes.Repeat([]byte{byte(i)}, 30)})
	}
	return out
}

// describe returns the restored log as text, for comparisons.
func describe(r raft.Restored) string {
	snap, list := uint64(0), r.Entries
	if r.Snapshot != nil {
		snap = r.Snapshot.Index
	}
	text := fmt.Sprintf("%+v snapshot %d:", r.HardState, snap)
	for _, e := range list {
		text += fmt.Sprintf(" %d/%d/%d", e.Index, e.Term, len(e.Data))
	}
	return text
}

// model is a simple log in memory, with the states that a crash may leave.
type model struct {
	current raft.Restored
	allowed []string
	repair  func(error) bool // called when an operation fails; returns whether to repeat it
}

func (m *model) save(hs raft.HardState, es []raft.Entry) {
	m.current.HardState = hs
	for _, e := range es {
		base := e.Index - 1 // highest index that remains
		kept := m.current.Entries[:0:0]
		for _, old := range m.current.Entries {
			if old.Index <= base {
				kept = append(kept, old)
			}
		}
		m.current.Entries = append(kept, e)
	}
}

// snapshot stores a snapshot. It drops the entries that the snapshot covers, or
// all entries with dropAll.
func (m *model) snapshot(s raft.Snapshot, dropAll bool) {
	m.current.Snapshot = &s
	kept := m.current.Entries[:0:0]
	for _, e := range m.current.Entries {
		if e.Index > s.Index && !dropAll {
			kept = append(kept, e)
		}
	}
	m.current.Entries = kept
}

// workload runs every operation of the log and returns the first error. The
// model is updated after each success.
func workload(l *Log, m *model) error {
	for i := uint64(1); i <= 12; i++ {
		hs, es := raft.HardState{Term: 1, Vote: 3, Commit: i - 1}, entries(1, i*2-1, i*2)
		if err := m.run(func(n *model) { n.save(hs, es) }, func() error { return l.Save(hs, es) }); err != nil {
			return err
		}
	}
	hs := raft.HardState{Term: 2, Vote: 2, Commit: 18}
	es := entries(2, 20, 21) // replaces entries 20 to 24
	if err := m.run(func(n *model) { n.save(hs, es) }, func() error { return l.Save(hs, es) }); err != nil {
		return err
	}
	s := raft.Snapshot{Index: 15, Term: 1, Data: []byte("state")}
	if err := m.run(func(n *model) { n.snapshot(s, false) }, func() error { return l.SaveSnapshot(s) }); err != nil {
		return err
	}
	s = raft.Snapshot{Index: 20, Term: 3, Data: []byte("other state")}
	hs = raft.HardState{Term: 3, Commit: 20}
	between := *m
	between.snapshot(s, true) // the snapshot is on disk, but not the reset
	err := m.run(func(n *model) {
		n.allowed = append(n.allowed, describe(between.current))
		n.snapshot(s, true)
		n.current.HardState = hs
	}, func() error { return l.Install(s, hs) })
	if err != nil {
		return err
	}
	hs.Commit, es = 21, entries(3, 21, 24)
	return m.run(func(n *model) { n.save(hs, es) }, func() error { return l.Save(hs, es) })
}

// run runs an operation of the log and applies the change that it makes to the
// model. If the operation fails, the states before and after it are allowed.
func (m *model) run(change func(*model), operation func() error) error {
	next := model{current: m.current, allowed: []string{describe(m.current)}}
	change(&next)
	m.allowed = append(next.allowed, describe(next.current))
	for err := operation(); err != nil; err = operation() {
		if m.repair == nil || !m.repair(err) {
			return err
		}
	}
	m.current, m.allowed = next.current, []string{describe(next.current)}
	return nil
}

func openSmallSegments(d Disk) (*Log, Stored, error) {
	l, stored, err := Open(d, newID)
	if err == nil {
		l.LimitSegments(300)
	}
	return l, stored, err
}

// Each disk operation has a run in which the host crashes at it. The disk loses,
// tears and reorders unsynced writes, and the host crashes again during recovery.
// The recovered log must be one that the model allows.
func TestCrashAtEveryPoint(t *testing.T) {
	for seed := range uint64(*seeds) {
		for at := 1; ; at++ {
			if done := crashAt(t, seed, at); done {
				break
			}
		}
	}
}

func crashAt(t *testing.T, seed uint64, at int) bool {
	r := rand.New(rand.NewPCG(seed, uint64(at)))
	d := newFakeDisk()
	d.opsUntilCrash = at
	m := &model{allowed: []string{describe(raft.Restored{})}}
	l, _, err := openSmallSegments(d)
	if err == nil {
		err = workload(l, m)
	}
	done := err == nil
	for again := 1; ; again++ {
		d.crash(r)
		d.opsUntilCrash = again
		l, stored, err := openSmallSegments(d)
		if err != nil && errors.Is(err, errCrash) {
			continue
		}
		if err != nil {
			t.Fatalf("seed %d, crash at %d and %d: %v", seed, at, again, err)
		}
		got := describe(stored.Restored)
		for _, want := range m.allowed {
			if got == want {
				checkContinues(t, d, l, stored.Restored)
				return done
			}
		}
		t.Fatalf("seed %d, crash at %d and %d:\ngot  %s\nwant %s", seed, at, again, got, strings.Join(m.allowed, "\n or  "))
	}
}

// checkContinues appends to the recovered log and reads it again.
func checkContinues(t *testing.T, d *fakeDisk, l *Log, r raft.Restored) {
	d.opsUntilCrash = -1
	m := &model{current: r}
	next := uint64(1 + len(r.Entries))
	if r.Snapshot != nil {
		next += r.Snapshot.Index
	}
	hs := raft.HardState{Term: 9}
	m.save(hs, entries(9, next, next+1))
	err := l.Save(hs, entries(9, next, next+1))
	if err == nil {
		_, r, err := openSmallSegments(d)
		if err != nil || describe(r.Restored) != describe(m.current) {
			t.Fatalf("after a crash: %v\ngot  %s\nwant %s", err, describe(r.Restored), describe(m.current))
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A flipped bit in any frame before the last one must be reported as corruption.
// The test leaves the last frame intact, because a flipped bit there looks like a
// torn write.
func TestFlippedBits(t *testing.T) {
	c := qt.New(t)
	d := newFakeDisk()
	l, _, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 1, 3)), qt.IsNil)
	c.Assert(l.Save(raft.HardState{Term: 1, Commit: 3}, entries(1, 4, 5)), qt.IsNil)
	name := l.segments[0].name()
	lastFrame := int(l.size)
	c.Assert(l.Close(), qt.IsNil)
	for at := range lastFrame {
		d.flipBit(name, at)
		_, _, err := Open(d, newID)
		c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt, qt.Commentf("offset %d: %v", at, err))
		c.Assert(fault.From(err).Message, qt.Matches, "data file data/log-0000000000000001 is corrupt at offset .*")
		c.Assert(fault.From(err).Remedy, qt.Not(qt.Equals), "")
		d.flipBit(name, at)
	}
	_, stored, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Restored.Entries, qt.HasLen, 5)
}

func TestMissingFilesAreRefused(t *testing.T) {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix, identityName} {
		t.Run(prefix, func(t *testing.T) {
			c := qt.New(t)
			d := newFakeDisk()
			l, _, err := openSmallSegments(d)
			c.Assert(err, qt.IsNil)
			c.Assert(workload(l, &model{}), qt.IsNil)
			c.Assert(l.Close(), qt.IsNil)
			names, _ := d.List()
			for _, name := range withPrefix(names, prefix) {
				c.Assert(d.Remove(name), qt.IsNil)
			}
			_, _, err = openSmallSegments(d)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt, qt.Commentf("%v", err))
		})
	}
}

func TestFullDisk(t *testing.T) {
	c := qt.New(t)
	d := newFakeDisk()
	l, _, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 1, 2)), qt.IsNil)
	d.freeBytes = 40
	err = l.Save(raft.HardState{Term: 1}, entries(1, 3, 4))
	c.Assert(fault.KindOf(err), qt.Equals, fault.Unavailable)
	c.Assert(err, qt.ErrorMatches, "the disk is full.*free space.*")
	c.Assert(l.Failed(), qt.IsNil)
	d.freeBytes = -1
	c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 3, 4)), qt.IsNil)
	d.crash(rand.New(rand.NewPCG(1, 1)))
	_, stored, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Restored.Entries, qt.HasLen, 4)
}

// Guards against a log that stays unusable after its disk has room again.
func TestFullDiskAtEveryPoint(t *testing.T) {
	for at := 1; ; at++ { // the operation from which on the disk is full, until the log has reported that
		for _, losesPower := range []bool{false, true} {
			if done := fullAt(t, at, losesPower); done {
				return
			}
		}
	}
}

// fullAt returns true if the workload ends before the disk is full.
func fullAt(t *testing.T, at int, losesPower bool) bool {
	c := qt.New(t)
	comment := qt.Commentf("full at operation %d, then loses power: %v", at, losesPower)
	d := newFakeDisk()
	l, _, err := openSmallSegments(d)
	c.Assert(err, qt.IsNil)
	d.opsUntilFull = at
	wasFull := false
	m := &model{repair: func(err error) bool {
		c.Assert(l.Failed(), qt.IsNil, qt.Commentf("%v: %v", comment, err))
		d.opsUntilFull, wasFull = -1, true
		return !losesPower
	}}
	err = workload(l, m)
	if d.opsUntilFull > 0 {
		return true
	}
	d.opsUntilFull = -1
	if losesPower && wasFull {
		d.crash(rand.New(rand.NewPCG(uint64(at), 1)))
	} else {
		c.Assert(err, qt.IsNil, comment)
	}
	l, stored, err := openSmallSegments(d)
	c.Assert(err, qt.IsNil, comment)
	c.Assert(m.allowed, qt.Any(qt.Equals), describe(stored.Restored), comment)
	checkContinues(t, d, l, stored.Restored)
	return false
}

func TestFailedSyncIsFinal(t *testing.T) {
	c := qt.New(t)
	d := newFakeDisk()
	l, _, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	d.syncErr = errors.New("input/output error")
	c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 1, 2)), qt.IsNotNil)
	d.syncErr = nil
	c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 1, 2)), qt.ErrorMatches, ".*restart the host")
}

func TestFolderIsLockedAndRestored(t *testing.T) {
	c := qt.New(t)
	d, err := OpenFolder(t.TempDir())
	c.Assert(err, qt.IsNil)
	backup, err := DecodeBackup("b", EncodeBackup(raft.Snapshot{Index: 9, Term: 2, Data: []byte("x")}))
	c.Assert(err, qt.IsNil)
	c.Assert(Restore(d, testID, backup), qt.IsNil)
	c.Assert(fault.KindOf(Restore(d, testID, backup)), qt.Equals, fault.Conflict)
	l, stored, err := Open(d, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.ID, qt.Equals, testID)
	c.Assert(string(stored.Restored.Snapshot.Data), qt.Equals, "x")
	_, _, err = Open(d, nil)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Conflict)
	c.Assert(l.Save(raft.HardState{Term: 3}, entries(3, 10, 11)), qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, stored, err = Open(d, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Restored.Entries, qt.HasLen, 2)
	bad := EncodeBackup(backup)
	bad[len(bad)-1]++
	_, err = DecodeBackup("b", bad)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
}
