package wal

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// newLog returns a disk and a log with small segments on it, which holds entries of term 1
// in a frame each, up to index last. Those up to commit are committed.
func newLog(c *qt.C, last, commit uint64) (*fakeDisk, *Log) {
	d := newFakeDisk()
	l, _, err := openSmallSegments(d)
	c.Assert(err, qt.IsNil)
	for i := uint64(1); i <= last; i++ {
		hs := raft.HardState{Term: 1, Commit: min(i-1, commit)}
		c.Assert(l.Save(hs, entries(1, i, i)), qt.IsNil)
	}
	return d, l
}

// Guards against a log that counts as damaged because a leader's entries were replaced
// across two segments, of which the first one was removed.
func TestReplacedEntriesAcrossARemovedSegment(t *testing.T) {
	for commit := uint64(1); commit < 8; commit++ {
		for snapshot := commit; snapshot <= 9; snapshot++ {
			c := qt.New(t)
			comment := qt.Commentf("entries after %d replaced, snapshot at %d", commit, snapshot)
			d, l := newLog(c, 8, commit)
			c.Assert(l.Save(raft.HardState{Term: 2, Commit: snapshot}, entries(2, commit+1, 9)), qt.IsNil)
			term := uint64(2)
			if snapshot == commit {
				term = 1
			}
			c.Assert(l.SaveSnapshot(raft.Snapshot{Index: snapshot, Term: term}), qt.IsNil)
			c.Assert(l.Save(raft.HardState{Term: 2, Commit: snapshot}, entries(2, 10, 10)), qt.IsNil)
			c.Assert(l.Close(), qt.IsNil)
			l, stored, err := openSmallSegments(d)
			c.Assert(err, qt.IsNil, comment)
			c.Assert(stored.Restored.Entries, qt.HasLen, int(10-snapshot), comment)
			for i, e := range stored.Restored.Entries {
				c.Assert(e.Index, qt.Equals, snapshot+1+uint64(i), comment)
				c.Assert(e.Term, qt.Equals, uint64(2), comment)
			}
			checkContinues(t, d, l, stored.Restored)
		}
	}
}

// Guards against replaced entries that come back because the entry that replaced them
// has an index below those of the first remaining segment.
func TestReplacedEntriesDoNotComeBack(t *testing.T) {
	c := qt.New(t)
	d, l := newLog(c, 8, 4)
	c.Assert(l.Save(raft.HardState{Term: 2, Commit: 6}, entries(2, 5, 6)), qt.IsNil)
	c.Assert(l.SaveSnapshot(raft.Snapshot{Index: 6, Term: 2}), qt.IsNil)
	c.Assert(len(l.segments) < 4, qt.IsTrue, qt.Commentf("no segment was removed"))
	_, stored, err := openSmallSegments(d)
	c.Assert(err, qt.IsNil)
	c.Assert(stored.Restored.Entries, qt.HasLen, 0)
}

// writeSegment writes a segment with the frames, which begin with that of the segment.
func writeSegment(c *qt.C, d Disk, number, sequence uint64, header raft.HardState, batches ...batch) {
	data := appendFrame(nil, kindSegment, sequence, encode(newBatch(header, nil)))
	for _, b := range batches {
		sequence++
		data = appendFrame(data, kindBatch, sequence, encode(b))
	}
	file, err := d.Open(segment{number: number}.name())
	c.Assert(err, qt.IsNil)
	_, err = file.Write(data)
	c.Assert(err, qt.IsNil)
}

// Entries below the first remaining one are accepted only above the commit index, and
// only if the snapshot covers what the removed segments held.
func TestDamageBesideReplacedEntriesIsRefused(t *testing.T) {
	snapshot := raft.Snapshot{Index: 6, Term: 2}
	hs := func(commit uint64) raft.HardState { return raft.HardState{Term: 2, Commit: commit} }
	replaced := []batch{newBatch(hs(4), entries(1, 7, 8)), newBatch(hs(8), entries(2, 5, 9))}
	tests := []struct {
		name    string
		header  raft.HardState
		batches []batch
		message string // empty if the log opens
	}{
		{"entries 5 to 8 were replaced", hs(4), replaced, ""},
		{"a segment is missing", hs(4), []batch{newBatch(hs(4), entries(1, 8, 8)), replaced[1]}, ".*entries 7 to 7 are missing"},
		{"a gap after the replaced entries", hs(4), []batch{replaced[0], newBatch(hs(4), entries(2, 5, 5)), newBatch(hs(4), entries(2, 7, 8))}, ".*entry 7 does not follow entry 5"},
		{"a committed entry was in a removed segment", hs(5), []batch{newBatch(hs(5), entries(1, 7, 8)), replaced[1]}, ".*entry 5 of term 2 replaces a committed entry"},
		{"a committed entry is replaced", hs(4), []batch{newBatch(hs(7), entries(1, 7, 8)), newBatch(hs(7), entries(2, 7, 8))}, ".*entry 7 of term 2 replaces a committed entry"},
		{"a committed entry is not there", hs(4), []batch{replaced[0], newBatch(hs(8), entries(2, 5, 7))}, ".*ends at entry 7, but 8 was committed"},
		{"a committed entry does not follow the snapshot", hs(4), []batch{newBatch(hs(8), entries(1, 5, 8))}, ".*ends at entry 6, but 8 was committed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := newFakeDisk()
			l, _, err := Open(d, newID)
			c.Assert(err, qt.IsNil)
			c.Assert(l.SaveSnapshot(snapshot), qt.IsNil)
			c.Assert(d.Remove(l.segments[0].name()), qt.IsNil)
			writeSegment(c, d, 3, 40, tt.header, tt.batches...)
			_, stored, err := Open(d, newID)
			if tt.message == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(stored.Restored.Entries, qt.HasLen, 3)
				return
			}
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
			c.Assert(fault.From(err).Message, qt.Matches, tt.message)
		})
	}
}

// A log whose first remaining segment begins with replaced entries refuses flipped bits in
// each segment, and the loss of each but two: the first one, which holds only replaced
// entries and those of the snapshot, and the last one, which the others do not mention.
func TestDamageAfterReplacedEntriesIsRefused(t *testing.T) {
	c := qt.New(t)
	d, l := newLog(c, 8, 4)
	for i := uint64(5); i <= 24; i++ {
		c.Assert(l.Save(raft.HardState{Term: 2, Commit: i - 1}, entries(2, i, i)), qt.IsNil)
	}
	c.Assert(l.SaveSnapshot(raft.Snapshot{Index: 6, Term: 2}), qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(len(l.segments) > 3, qt.IsTrue)
	_, whole, err := Open(d, newID)
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Restored.Entries, qt.HasLen, 18)
	for i, s := range l.segments[:len(l.segments)-1] {
		for at := range d.names[s.name()].data {
			d.flipBit(s.name(), at)
			_, _, err := Open(d, newID)
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt, qt.Commentf("segment %d, offset %d: %v", i, at, err))
			d.flipBit(s.name(), at)
		}
		file := d.names[s.name()]
		c.Assert(d.Remove(s.name()), qt.IsNil)
		_, stored, err := Open(d, newID)
		if i == 0 {
			c.Assert(err, qt.IsNil)
			c.Assert(describe(stored.Restored), qt.Equals, describe(whole.Restored))
		} else {
			c.Assert(err, qt.IsNotNil, qt.Commentf("without segment %d", i))
			c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
		}
		d.names[s.name()] = file
	}
}

// Guards against an installed snapshot that takes the place of entries that were committed.
func TestSnapshotInPlaceOfCommittedEntriesIsRefused(t *testing.T) {
	c := qt.New(t)
	d, l := newLog(c, 8, 7)
	s := raft.Snapshot{Index: 5, Term: 2}
	c.Assert(l.Install(s, raft.HardState{Term: 2, Commit: 5}), qt.IsNil)
	_, _, err := Open(d, newID)
	c.Assert(fault.KindOf(err), qt.Equals, fault.Corrupt)
	c.Assert(fault.From(err).Message, qt.Matches, ".*the snapshot of entry 5 replaces committed entries up to 7")
}
