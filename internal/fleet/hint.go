package fleet

import (
	"errors"
	"io/fs"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagequay/internal/catalog"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/wal"
)

const hintName = "backends.hint"

// hintPause is the least time between two writes of the hint.
const hintPause = 2 * time.Second

// hintFile keeps the known backend servers on disk. It is a hint: after a loss
// of power hosts can place flows before backend servers have announced
// themselves again. A missing or broken one only costs that time.
type hintFile struct {
	disk     wal.Disk
	revision uint64
	savedAt  time.Time
	busy     atomic.Bool
	failed   func(error) // told of each write that failed
}

func newHintFile(disk wal.Disk, failed func(error)) *hintFile {
	return &hintFile{disk: disk, failed: failed}
}

// due reports whether there are changes that should be saved.
func (f *hintFile) due(revision uint64) bool {
	return revision != f.revision && time.Since(f.savedAt) >= hintPause && !f.busy.Load()
}

// save writes the records from a goroutine of its own, since the disk may hang.
func (f *hintFile) save(revision uint64, records []catalog.Record) {
	f.revision, f.savedAt = revision, time.Now()
	f.busy.Store(true)
	go func() {
		defer f.busy.Store(false)
		if err := f.write(records); err != nil {
			f.failed(err)
		}
	}()
}

func (f *hintFile) write(records []catalog.Record) error {
	data, err := cbor.Marshal(records)
	if err != nil {
		return err
	}
	return wal.ReplaceFile(f.disk, hintName, data)
}

// load returns the records of the hint, and none if there is no hint.
func (f *hintFile) load() ([]catalog.Record, error) {
	data, err := f.disk.ReadFile(hintName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var records []catalog.Record
	err = cbor.Unmarshal(data, &records)
	return records, err
}

// recall fills the catalog from the hint.
func (h *ControlHost) recall() {
	records, err := h.hint.load()
	if err != nil {
		h.log.Event("hint", "goes on without the backend servers known before", eventlog.Fields{"error": err.Error()})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalog.Merge(h.now(), "", records)
	h.log.Event("hint", "recalled the backend servers known before", eventlog.Fields{"backends": len(records)})
}
