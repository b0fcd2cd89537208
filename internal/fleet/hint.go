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

// Names of the hint files.
const (
	backendsHintName = "backends.hint"
	entriesHintName  = "entries.hint"
)

// minHintInterval is the minimum time between two writes of a hint file.
const minHintInterval = 2 * time.Second

// hintFile keeps a list of what a control host knows on disk, so that after a power
// loss it need not learn that again first. A host without a readable hint file goes on
// without the list.
type hintFile[T any] struct {
	disk     wal.Disk
	name     string
	revision uint64 // of the list at the last write that was started
	savedAt  time.Time
	writing  atomic.Bool
	failed   atomic.Bool // whether the last write failed
	onError  func(error) // called for each write that failed
}

func newHintFile[T any](disk wal.Disk, name string, onError func(error)) *hintFile[T] {
	return &hintFile[T]{disk: disk, name: name, onError: onError}
}

// due reports whether a list of the given revision should be saved now: it has
// changed since the last write, or that write failed.
func (f *hintFile[T]) due(revision uint64) bool {
	outdated := revision != f.revision || f.failed.Load()
	return outdated && time.Since(f.savedAt) >= minHintInterval && !f.writing.Load()
}

// save writes the list in a separate goroutine, since the disk may hang.
func (f *hintFile[T]) save(revision uint64, list []T) {
	f.revision, f.savedAt = revision, time.Now()
	f.writing.Store(true)
	go func() {
		defer f.writing.Store(false)
		err := f.write(list)
		f.failed.Store(err != nil)
		if err != nil {
			f.onError(err)
		}
	}()
}

func (f *hintFile[T]) write(list []T) error {
	data, err := codec.Marshal(list)
	if err != nil {
		return err
	}
	return wal.ReplaceFile(f.disk, f.name, data)
}

// load returns the list in the hint file, or none if the file does not exist.
func (f *hintFile[T]) load() ([]T, error) {
	data, err := f.disk.ReadFile(f.name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []T
	err = codec.Unmarshal(data, &list)
	return list, err
}

// openHints sets the hint files in the data folder.
func (h *ControlHost) openHints(disk wal.Disk) {
	h.hint = newHintFile[catalog.Record](disk, backendsHintName, func(err error) {
		h.log.Event("hint", "could not save the known backend servers to the hint file", eventlog.Fields{"error": err.Error()})
	})
	h.entriesHint = newHintFile[knownEntryHost](disk, entriesHintName, func(err error) {
		h.log.Event("hint", "could not save the known entry hosts to the hint file", eventlog.Fields{"error": err.Error()})
	})
}

// isHintDue reports whether the known backend servers should be saved now. Without a
// document this host knows none but those that others sent. The caller holds mu.
func (h *ControlHost) isHintDue(revision uint64) bool {
	return h.services != nil && h.hint.due(revision)
}

// loadHint adds the records of the hint file to the catalog.
func (h *ControlHost) loadHint() {
	records, err := h.hint.load()
	if err != nil {
		h.log.Event("hint", "could not load the hint file; backend servers are unknown until they announce themselves", eventlog.Fields{"error": err.Error()})
		return
	}
	catalog.ForgetDepartures(records)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalog.Merge(h.now(), "", records)
	h.log.Event("hint", "loaded known backend servers from the hint file", eventlog.Fields{"backends": len(records)})
}
