package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"greengagequay/internal/codec"
	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// Remedies for stored data that fails its check.
const (
	remedyRejoin   = "move the data folder away, start with an empty one and replace this member: 'quayctl control remove', then 'add' and 'promote'"
	remedySnapshot = "use another backup, or replace this member: 'quayctl control remove', then 'add' and 'promote'"
)

func corrupt(file string, offset int, what, remedy string) error {
	return fault.New(fault.Corrupt, remedy, "data file %s is corrupt at offset %d: %s", file, offset, what)
}

// recovery rebuilds the saved log from the segments that remain and the snapshot.
//
// It may assume this of the removed segments: a durable snapshot covers the highest
// index that an entry in any of them has. So the log reached to that snapshot at most
// when the first remaining segment was begun, and the first entry there follows or
// replaces entries that the snapshot covers. Later entries, in the same segment or in
// another one, may replace entries from a lower index on, above the commit index.
type recovery struct {
	disk      Disk
	hardState raft.HardState
	entries   []raft.Entry
	base      uint64 // index before the first of entries, valid if hasBase
	start     uint64 // value of base before later entries replaced earlier ones
	hasBase   bool
	committed uint64 // highest index up to which the log was known to be committed
	sequence  uint64 // sequence number of the next frame, 0 before the first one
	segments  []segment
	tail      int // valid bytes of the last segment
}

// readSegments replays all segments. The last one may end with a frame that was
// being written when the host crashed.
func (r *recovery) readSegments(names []string) error {
	for i, name := range names {
		number, err := parseNumber(name, segmentPrefix)
		if err != nil || i > 0 && number != r.segments[len(r.segments)-1].number+1 {
			return corrupt(r.disk.Path(name), 0, "the segment before it is missing", remedyRejoin)
		}
		data, err := r.disk.ReadFile(name)
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		last := i == len(names)-1
		if last && i > 0 && isUnfinished(data) {
			if err := r.disk.Remove(name); err != nil {
				return fmt.Errorf("remove segment: %w", err)
			}
			return nil // the segment before it is complete
		}
		r.segments = append(r.segments, segment{number: number})
		if err := r.readSegment(name, data, last); err != nil {
			return err
		}
	}
	return nil
}

// isUnfinished reports whether the host crashed while it created the segment.
func isUnfinished(data []byte) bool {
	_, ok := parseFrame(data)
	return !ok && !containsFrame(data)
}

func (r *recovery) readSegment(name string, data []byte, last bool) error {
	at := 0
	for at < len(data) {
		f, ok := parseFrame(data[at:])
		if !ok {
			if !last || at == 0 || containsFrame(data[at:]) {
				return corrupt(r.disk.Path(name), at, "a frame is malformed or its checksum is wrong, and it is not the last one", remedyRejoin)
			}
			break
		}
		if r.sequence != 0 && f.sequence != r.sequence {
			return corrupt(r.disk.Path(name), at, fmt.Sprintf("found frame %d instead of frame %d", f.sequence, r.sequence), remedyRejoin)
		}
		r.sequence = f.sequence + 1
		if err := r.replay(f); err != nil {
			return corrupt(r.disk.Path(name), at, err.Error(), remedyRejoin)
		}
		at += f.size
	}
	if at == 0 {
		return corrupt(r.disk.Path(name), 0, "the segment is empty", remedyRejoin)
	}
	r.tail = at
	return nil
}

func (r *recovery) replay(f frame) error {
	var b batch
	if f.kind == kindReset {
		var x reset
		if err := codec.Unmarshal(f.payload, &x); err != nil {
			return err
		}
		if err := r.reset(x.Index); err != nil {
			return err
		}
		b = x.Batch
	} else if err := codec.Unmarshal(f.payload, &b); err != nil {
		return err
	}
	for _, e := range b.Entries {
		if err := r.add(e.toEntry()); err != nil {
			return err
		}
		s := &r.segments[len(r.segments)-1]
		s.last = max(s.last, e.Index)
	}
	r.hardState = b.toHardState()
	r.committed = max(r.committed, b.Commit)
	return nil
}

// reset restarts the log after an installed snapshot with the given index.
func (r *recovery) reset(index uint64) error {
	if index < r.committed {
		return fmt.Errorf("the snapshot of entry %d replaces committed entries up to %d", index, r.committed)
	}
	r.entries, r.base, r.start, r.hasBase, r.committed = nil, index, index, true, index
	for i := range r.segments {
		r.segments[i].last = 0
	}
	return nil
}

// add appends one entry. It replaces any entries from its index on, which must be above
// the commit index. The first of those may have been in a removed segment.
func (r *recovery) add(e raft.Entry) error {
	if e.Index == 0 {
		return errors.New("an entry has no index")
	}
	if !r.hasBase {
		r.base, r.start, r.hasBase = e.Index-1, e.Index-1, true
	}
	next := r.base + uint64(len(r.entries)) + 1
	switch {
	case e.Index > next:
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, next-1)
	case e.Index <= r.committed && r.conflicts(e):
		return fmt.Errorf("entry %d of term %d replaces a committed entry", e.Index, e.Term)
	case e.Index <= r.base:
		r.base, r.entries = e.Index-1, nil
	}
	r.entries = append(r.entries[:e.Index-r.base-1], e)
	return nil
}

// conflicts reports whether the log has another entry at the index of e, or may have had
// one in a removed segment.
func (r *recovery) conflicts(e raft.Entry) bool {
	if e.Index <= r.base {
		return true
	}
	at := int(e.Index - r.base - 1)
	return at < len(r.entries) && r.entries[at].Term != e.Term
}

// matches reports whether the log contains the snapshot's last entry or starts
// right after it.
func (r *recovery) matches(s *raft.Snapshot) bool {
	if r.hasBase && r.base == s.Index {
		return true
	}
	i := int(s.Index) - int(r.base) - 1
	return r.hasBase && i >= 0 && i < len(r.entries) && r.entries[i].Term == s.Term
}

// restoredState returns the snapshot with the hard state and the entries that
// follow it. It returns an error if an entry that neither the snapshot nor a segment
// holds was committed, or may have been.
func (r *recovery) restoredState(s *raft.Snapshot) (raft.Restored, error) {
	out := raft.Restored{HardState: r.hardState, Snapshot: s}
	index := uint64(0)
	if s != nil {
		index = s.Index
	}
	if r.hasBase && r.start > index {
		return out, corrupt(r.disk.Path(""), 0, fmt.Sprintf("entries %d to %d are missing", index+1, r.start), remedyRejoin)
	}
	last := index // the installed snapshot replaces entries that it does not match
	if s == nil || r.matches(s) {
		out.Entries = slices.Clip(r.entries[index-r.base:])
		last += uint64(len(out.Entries))
	}
	if r.committed > last {
		return out, corrupt(r.disk.Path(""), 0, fmt.Sprintf("the log ends at entry %d, but %d was committed", last, r.committed), remedyRejoin)
	}
	return out, nil
}

// readSnapshot returns the latest snapshot, or nil.
func readSnapshot(d Disk, names []string) (*raft.Snapshot, error) {
	if len(names) == 0 {
		return nil, nil
	}
	name := names[len(names)-1]
	data, err := d.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	s, err := DecodeBackup(d.Path(name), data)
	return &s, err
}

func readIdentity(d Disk) (raft.ID, bool, error) {
	data, err := d.ReadFile(identityName)
	if notExist(err) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("read identity: %w", err)
	}
	var x identity
	f, ok := parseFrame(data)
	if !ok || f.kind != kindIdentity || codec.Unmarshal(f.payload, &x) != nil || x.ID == 0 {
		return 0, false, corrupt(d.Path(identityName), 0, "the identity is malformed or its checksum is wrong", remedyRejoin)
	}
	return raft.ID(x.ID), true, nil
}

// withPrefix returns the names with the prefix, sorted.
func withPrefix(names []string, prefix string) []string {
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func parseNumber(name, prefix string) (uint64, error) {
	var number uint64
	_, err := fmt.Sscanf(strings.TrimPrefix(name, prefix), "%016x", &number)
	return number, err
}
