package fleet

import (
	"errors"
	"io/fs"
	"sync/atomic"
	"time"

	"greengagequay/internal/catalog"
	"greengagequay/internal/codec"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/wal"
)

const hintFileName = "backends.hint"

// minHintInterval is the minimum time between two writes of the hint file.
const minHintInterval = 2 * time.Second

// hintFile keeps the known backend servers on disk, so that after a power loss
// hosts can place flows before backend servers have announced themselves again.
// Without a readable hint file, hosts wait for the announcements.
type hintFile struct {
	disk     wal.Disk
	revision uint64 // of the catalog at the last write that was started
	savedAt  time.Time
	writing  atomic.Bool
	failed   atomic.Bool // whether the last write failed
	onError  func(error) // called for each write that failed
}

func newHintFile(disk wal.Disk, onError func(error)) *hintFile {
	return &hintFile{disk: disk, onError: onError}
}

// due reports whether a catalog of the given revision should be saved now: it has
// changed since the last write, or that write failed.
func (f *hintFile) due(revision uint64) bool {
	outdated := revision != f.revision || f.failed.Load()
	return outdated && time.Since(f.savedAt) >= minHintInterval && !f.writing.Load()
}

// save writes the records in a separate goroutine, since the disk may hang.
func (f *hintFile) save(revision uint64, records []catalog.Record) {
	f.revision, f.savedAt = revision, time.Now()
	f.writing.Store(true)
	go func() {
		defer f.writing.Store(false)
		err := f.write(records)
		f.failed.Store(err != nil)
		if err != nil {
			f.onError(err)
		}
	}()
}

func (f *hintFile) write(records []catalog.Record) error {
	data, err := codec.Marshal(records)
	if err != nil {
		return err
	}
	return wal.ReplaceFile(f.disk, hintFileName, data)
}

// load returns the records of the hint file, or none if the file does not exist.
func (f *hintFile) load() ([]catalog.Record, error) {
	data, err := f.disk.ReadFile(hintFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var records []catalog.Record
	err = codec.Unmarshal(data, &records)
	return records, err
}

// loadHint adds the records of the hint file to the catalog.
func (h *ControlHost) loadHint() {
	records, err := h.hint.load()
	if err != nil {
		h.log.Event("hint", "could not load the hint file; backend servers are unknown until they announce themselves", eventlog.Fields{"error": err.Error()})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalog.Merge(h.now(), "", records)
	h.log.Event("hint", "loaded known backend servers from the hint file", eventlog.Fields{"backends": len(records)})
}
