package wal

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// damagedDisk returns a disk with a log of several segments and a snapshot, in which a
// bit of the first segment was flipped.
func damagedDisk(c *qt.C) *fakeDisk {
	d, l := newLog(c, 16, 16)
	c.Assert(l.SaveSnapshot(raft.Snapshot{Index: 4, Term: 1}), qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	d.flipBit(l.segments[0].name(), 30)
	file := d.names[l.segments[0].name()]
	file.durable = slices.Clone(file.data)
	return d
}

// openOrSetAside opens the folder as a control host does.
func openOrSetAside(d *fakeDisk) (Stored, error) {
	_, stored, err := Open(d, newID)
	if err == nil || fault.KindOf(err) != fault.Corrupt {
		return stored, err
	}
	if _, err := SetAside(d); err != nil {
		return Stored{}, err
	}
	_, stored, err = Open(d, newID)
	return stored, err
}

// Guards against a crash while a log is set aside that leaves a part of the log in force,
// or loses another part of it.
func TestCrashWhileALogIsSetAside(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(*seeds * 4) {
		r := rand.New(rand.NewPCG(seed, 3))
		for at := 1; ; at++ {
			d := damagedDisk(c)
			before := logFiles(mustList(c, d), "")
			d.opsUntilCrash = at
			stored, err := openOrSetAside(d)
			done := err == nil
			for again := 1; err != nil; again++ {
				d.crash(r)
				d.opsUntilCrash = again + r.IntN(8)
				stored, err = openOrSetAside(d)
			}
			comment := qt.Commentf("seed %d, crash at %d", seed, at)
			c.Assert(describe(stored.Restored), qt.Equals, describe(raft.Restored{}), comment)
			var kept []string
			for _, name := range logFiles(mustList(c, d), damagedPrefix) {
				kept = append(kept, strings.TrimPrefix(name, damagedPrefix))
			}
			c.Assert(kept, qt.DeepEquals, before, comment)
			if done {
				break
			}
		}
	}
}

func mustList(c *qt.C, d Disk) []string {
	names, err := d.List()
	c.Assert(err, qt.IsNil)
	return names
}

// Guards against a second damaged log that replaces the only copy of the first one.
func TestFurtherDamagedLogsReplaceOnlyTheLast(t *testing.T) {
	c := qt.New(t)
	d := newFakeDisk()
	for i := 1; i <= maxDamagedLogs+2; i++ {
		l, _, err := Open(d, newID)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Save(raft.HardState{Term: 1}, entries(1, 1, uint64(i))), qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		log, err := SetAside(d)
		c.Assert(err, qt.IsNil)
		c.Assert(log.Files, qt.Equals, 2)
		c.Assert(log.Replaced, qt.Equals, i > maxDamagedLogs)
	}
	count, err := CountDamaged(d)
	c.Assert(err, qt.IsNil)
	c.Assert(count, qt.Equals, maxDamagedLogs)
	for number, held := range map[int]int{1: 1, maxDamagedLogs: maxDamagedLogs + 2} {
		moved := newFakeDisk() // as an operator who moves the files back
		for _, name := range logFiles(mustList(c, d), damagedLogPrefix(number)) {
			moved.names[strings.TrimPrefix(name, damagedLogPrefix(number))] = d.names[name]
		}
		_, stored, err := Open(moved, newID)
		c.Assert(err, qt.IsNil)
		c.Assert(stored.Restored.Entries, qt.HasLen, held)
	}
}

// Guards against files of two logs under one number, after a log that had lost its identity
// was set aside over an earlier one.
func TestLogsThatWereSetAsideAreNotMixed(t *testing.T) {
	c := qt.New(t)
	d := newFakeDisk()
	for range maxDamagedLogs + 1 {
		l, _, err := Open(d, newID)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		if number := latestDamaged(mustList(c, d)); number == maxDamagedLogs {
			c.Assert(d.Remove(identityName), qt.IsNil)
		}
		_, err = SetAside(d)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(logFiles(mustList(c, d), damagedLogPrefix(maxDamagedLogs)), qt.DeepEquals, []string{damagedLogPrefix(maxDamagedLogs) + "log-0000000000000001"})
}

// Guards against a log without its identity that is taken for an unfinished new one, and
// removed.
func TestSegmentsWithoutAnIdentityAreKept(t *testing.T) {
	c := qt.New(t)
	d := damagedDisk(c)
	names := mustList(c, d)
	c.Assert(d.Remove(identityName), qt.IsNil)
	for _, name := range withPrefix(names, snapshotPrefix) {
		c.Assert(d.Remove(name), qt.IsNil)
	}
	for _, name := range withPrefix(names, segmentPrefix) {
		d.flipBit(name, 0)
		_, _, err := Open(d, newID)
		c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt, qt.Commentf(name))
	}
	c.Assert(withPrefix(mustList(c, d), segmentPrefix), qt.DeepEquals, withPrefix(names, segmentPrefix))
}
