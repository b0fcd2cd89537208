package wal

import (
	"errors"
	"fmt"

	"greengagequay/internal/fault"
	"greengagequay/internal/raft"
)

// writeFileAtomic replaces a file of the log: after a crash it holds either its
// old or its new content.
func (l *Log) writeFileAtomic(name string, data []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if err := writeTemporary(l.disk, temporaryName, data); err != nil {
		return err
	}
	if err := l.disk.Rename(temporaryName, name); err != nil {
		return diskError(err, remedyFull)
	}
	if err := l.disk.SyncDir(); err != nil {
		return l.fail(err)
	}
	return nil
}

// ReplaceFile replaces a file that is not part of the log: after a crash it
// holds either its old or its new content.
func ReplaceFile(d Disk, name string, data []byte) error {
	temporary := name + ".new"
	if err := writeTemporary(d, temporary, data); err != nil {
		return err
	}
	return errors.Join(d.Rename(temporary, name), d.SyncDir())
}

func writeTemporary(d Disk, name string, data []byte) error {
	_ = d.Remove(name)
	file, err := d.Open(name)
	if err != nil {
		return diskError(err, "repair the disk or free space")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		_ = d.Remove(name)
		return diskError(err, remedyFull)
	}
	return nil
}

// SaveSnapshot makes a snapshot durable and removes the older snapshots and the
// segments that it replaces.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	if err := l.writeFileAtomic(snapshotName(s.Index), EncodeBackup(s)); err != nil {
		return err
	}
	return l.removeReplaced(s.Index)
}

// Install replaces the log and the state with a snapshot from the leader.
func (l *Log) Install(s raft.Snapshot, hs raft.HardState) error {
	if err := l.writeFileAtomic(snapshotName(s.Index), EncodeBackup(s)); err != nil {
		return err
	}
	if err := l.writeReset(s, hs); err != nil {
		return err
	}
	return l.removeReplaced(s.Index)
}

// removeReplaced removes the snapshots and segments that the durable snapshot with the
// given index replaces.
func (l *Log) removeReplaced(index uint64) error {
	names, err := l.disk.List()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	if err := l.removeOldSnapshots(withPrefix(names, snapshotPrefix)); err != nil {
		return err
	}
	return l.removeSegments(index)
}

// writeReset writes a frame after which the log continues from the snapshot,
// without the entries before the frame.
func (l *Log) writeReset(s raft.Snapshot, hs raft.HardState) error {
	x := reset{Batch: newBatch(hs, nil), Index: s.Index, Term: s.Term}
	if err := l.write(kindReset, encode(x)); err != nil {
		return err
	}
	l.hardState = hs
	for i := range l.segments {
		l.segments[i].last = 0
	}
	return nil
}

// removeOldSnapshots removes all snapshots except the latest.
func (l *Log) removeOldSnapshots(snapshots []string) error {
	if len(snapshots) < 2 {
		return nil
	}
	for _, name := range snapshots[:len(snapshots)-1] {
		if err := l.disk.Remove(name); err != nil {
			return fmt.Errorf("remove snapshot: %w", err)
		}
	}
	return l.disk.SyncDir()
}

// removeSegments removes the segments whose entries the snapshot covers, except
// the last segment. It removes them one by one from the oldest on, with a sync
// after each, so that a crash leaves no gap.
func (l *Log) removeSegments(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.disk.Remove(l.segments[0].name()); err != nil {
			return fmt.Errorf("remove segment: %w", err)
		}
		if err := l.disk.SyncDir(); err != nil {
			return l.fail(err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Restore fills an empty data folder from a snapshot.
func Restore(d Disk, id raft.ID, s raft.Snapshot) error {
	lock, err := d.Lock()
	if err != nil {
		return err
	}
	l := &Log{disk: d, lock: lock, sequence: 1, hardState: raft.HardState{Term: s.Term, Commit: s.Index}}
	names, err := d.List()
	if err == nil {
		err = l.restore(names, id, s)
	}
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
	}
	return errors.Join(err, lock.Close())
}

func (l *Log) restore(names []string, id raft.ID, s raft.Snapshot) error {
	for _, prefix := range []string{identityName, segmentPrefix, snapshotPrefix} {
		if found := withPrefix(names, prefix); len(found) > 0 {
			return fault.New(fault.Conflict, "name an empty folder", "data folder already contains %s", l.disk.Path(found[0]))
		}
	}
	if err := l.writeFileAtomic(snapshotName(s.Index), EncodeBackup(s)); err != nil {
		return err
	}
	if err := l.startSegment(1); err != nil {
		return err
	}
	return l.writeIdentity(id)
}
