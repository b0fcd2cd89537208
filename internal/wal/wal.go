package wal

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// segmentBytes is the size at which a new segment is started.
const segmentBytes = 16 << 20

// Names of the files in the data folder.
const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	identityName   = "identity"
	temporaryName  = "temporary"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// Stored is the content of a data folder when it was opened.
type Stored struct {
	ID       raft.ID // stays the same for the lifetime of the folder
	Restored raft.Restored
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	disk      Disk
	lock      io.Closer
	file      File  // the last segment, open for appending
	size      int64 // bytes of complete frames in file
	segments  []segment
	sequence  uint64 // sequence number of the next frame
	hardState raft.HardState
	torn      bool  // a failed write may have left bytes after size
	begun     bool  // the next segment may be on the disk, incomplete or complete, and nothing may be written before it
	failed    error // set once the content of the disk is uncertain

	segmentBytes int64
}

// Open opens and locks a data folder. An empty folder gets the identity that
// newID returns.
func Open(d Disk, newID func() raft.ID) (*Log, Stored, error) {
	lock, err := d.Lock()
	if err != nil {
		return nil, Stored{}, err
	}
	l := &Log{disk: d, lock: lock, sequence: 1, segmentBytes: segmentBytes}
	stored, err := l.open(newID)
	if err != nil {
		_ = lock.Close()
		return nil, Stored{}, err
	}
	return l, stored, nil
}

func (l *Log) open(newID func() raft.ID) (Stored, error) {
	names, err := l.disk.List()
	if err != nil {
		return Stored{}, fmt.Errorf("list data folder: %w", err)
	}
	id, found, err := readIdentity(l.disk)
	if err != nil {
		return Stored{}, err
	}
	if !found {
		return l.create(names, newID())
	}
	snapshots := withPrefix(names, snapshotPrefix)
	snap, err := readSnapshot(l.disk, snapshots)
	if err != nil {
		return Stored{}, err
	}
	r := &recovery{disk: l.disk}
	segments := withPrefix(names, segmentPrefix)
	if len(segments) == 0 {
		return Stored{}, corrupt(l.disk.Path(""), 0, "the log is missing", remedyRejoin)
	}
	if err := r.readSegments(segments); err != nil {
		return Stored{}, err
	}
	restored, err := r.restoredState(snap)
	if err != nil {
		return Stored{}, err
	}
	l.segments, l.sequence, l.hardState = r.segments, r.sequence, r.hardState
	if err := l.truncateTail(int64(r.tail)); err != nil {
		return Stored{}, err
	}
	if snap != nil && !r.matches(snap) {
		// The host crashed while it installed a snapshot.
		if err := l.writeReset(*snap, restored.HardState); err != nil {
			return Stored{}, err
		}
	}
	return Stored{ID: id, Restored: restored}, l.removeOldSnapshots(snapshots)
}

// create initializes a folder without an identity. It writes the identity last,
// so that a folder with an identity always has a log, which holds the votes.
func (l *Log) create(names []string, id raft.ID) (Stored, error) {
	if err := l.removeUnfinished(names); err != nil {
		return Stored{}, err
	}
	if err := l.startSegment(1); err != nil {
		return Stored{}, err
	}
	return Stored{ID: id}, l.writeIdentity(id)
}

// removeUnfinished removes the file of an interrupted creation. It returns an error if
// the folder holds a log or a snapshot but lost its identity.
func (l *Log) removeUnfinished(names []string) error {
	if len(withPrefix(names, snapshotPrefix)) > 0 {
		return corrupt(l.disk.Path(identityName), 0, "the identity is missing", remedyRejoin)
	}
	for _, name := range withPrefix(names, segmentPrefix) {
		data, err := l.disk.ReadFile(name)
		if err != nil {
			return fmt.Errorf("read segment: %w", err)
		}
		if !isNewLog(name, data) {
			return corrupt(l.disk.Path(identityName), 0, "the identity is missing", remedyRejoin)
		}
		if err := l.disk.Remove(name); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
	}
	return l.disk.SyncDir()
}

// isNewLog reports whether a segment is the first one of a log and holds nothing but
// its first frame, perhaps incomplete.
func isNewLog(name string, data []byte) bool {
	if name != (segment{number: 1}).name() {
		return false
	}
	f, ok := parseFrame(data)
	if ok {
		return len(data) == f.size
	}
	return !containsFrame(data)
}

func (l *Log) writeIdentity(id raft.ID) error {
	return l.writeFileAtomic(identityName, appendFrame(nil, kindIdentity, 1, encode(identity{ID: uint64(id)})))
}

// truncateTail opens the last segment and removes the frame that was being
// written when the host crashed.
func (l *Log) truncateTail(size int64) error {
	file, err := l.disk.Open(l.segments[len(l.segments)-1].name())
	if err != nil {
		return fmt.Errorf("open segment: %w", err)
	}
	if err := errors.Join(file.Truncate(size), file.Sync(), l.disk.SyncDir()); err != nil {
		return fmt.Errorf("truncate segment: %w", err)
	}
	l.file, l.size = file, size
	return nil
}

// LimitSegments sets the size in bytes at which a new segment is started, in place of
// segmentBytes.
func (l *Log) LimitSegments(size int64) { l.segmentBytes = size }

// HardState returns the last saved hard state.
func (l *Log) HardState() raft.HardState { return l.hardState }

// Save makes hard state and entries durable. Entries replace those with the same
// or a higher index. After an error, the caller must regard nothing as saved; it
// may repeat the call if Failed returns nil.
func (l *Log) Save(hs raft.HardState, entries []raft.Entry) error {
	if err := l.write(kindBatch, encode(newBatch(hs, entries))); err != nil {
		return err
	}
	l.hardState = hs
	s := &l.segments[len(l.segments)-1]
	for _, e := range entries {
		s.last = max(s.last, e.Index)
	}
	return nil
}

// write appends one frame and syncs it.
func (l *Log) write(kind frameKind, payload []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.prepare(); err != nil {
		return err
	}
	data := appendFrame(nil, kind, l.sequence, payload)
	if _, err := l.file.Write(data); err != nil {
		l.torn = l.file.Truncate(l.size) != nil
		return diskError(err, remedyFull)
	}
	// After a failed sync the kernel may have dropped the data and report
	// success the next time, so the sync is not retried.
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(data))
	l.sequence++
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = diskError(err, "repair the disk or free space, then restart the host")
	return l.failed
}

// remedyFull is the remedy of errors after which a write may be repeated.
const remedyFull = "free space on the disk; the host then continues without a restart"

func diskError(err error, remedy string) error {
	what := "the disk returned an error"
	if errors.Is(err, syscall.ENOSPC) {
		what = "the disk is full"
	}
	return fault.New(fault.Unavailable, remedy, "%s; this host accepts nothing: %w", what, err)
}

// Failed returns the error after which the log accepts no more writes, or nil.
func (l *Log) Failed() error { return l.failed }

// Close writes a frame that marks a clean shutdown, and unlocks the folder.
func (l *Log) Close() error {
	var err error
	if l.failed == nil {
		err = l.write(kindClosed, encode(newBatch(l.hardState, nil)))
	}
	return errors.Join(err, l.file.Close(), l.lock.Close())
}
