package wal

import (
	"errors"
	"fmt"
)

// segment is one file of the log.
type segment struct {
	number uint64
	last   uint64 // highest index of its entries, 0 if it has none after the last frame of kindReset
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", segmentPrefix, s.number) }

// prepare makes the last segment ready for another frame: it removes what a failed
// write left, and starts a new segment if the last one is full.
func (l *Log) prepare() error {
	if l.torn {
		if err := l.file.Truncate(l.size); err != nil {
			return diskError(err, remedyFull)
		}
		l.torn = false
	}
	if l.begun || l.size >= l.segmentBytes {
		return l.startSegment(l.segments[len(l.segments)-1].number + 1)
	}
	return nil
}

// startSegment creates a segment and continues the log in it. It may be called again
// after an error, unless the log has failed.
func (l *Log) startSegment(number uint64) error {
	s := segment{number: number}
	data := appendFrame(nil, kindSegment, l.sequence, encode(newBatch(l.hardState, nil)))
	l.begun = true
	file, err := l.createSegment(s.name(), data)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size, l.begun = file, int64(len(data)), false
	l.segments = append(l.segments, s)
	l.sequence++
	return nil
}

// createSegment writes the file of a segment. It replaces what an earlier attempt
// left.
func (l *Log) createSegment(name string, data []byte) (File, error) {
	file, err := l.disk.Open(name)
	if err != nil {
		return nil, diskError(err, remedyFull)
	}
	if err = file.Truncate(0); err == nil {
		_, err = file.Write(data)
	}
	if err != nil {
		_ = file.Close()
		return nil, diskError(err, remedyFull)
	}
	if err := errors.Join(file.Sync(), l.disk.SyncDir()); err != nil {
		_ = file.Close()
		return nil, l.fail(err)
	}
	return file, nil
}
