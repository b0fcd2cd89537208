package fleet

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/wal"
)

// fullDisk refuses to open and remove files.
type fullDisk struct{ wal.Disk }

var errNoSpace = errors.New("no space left")

func (fullDisk) Open(string) (wal.File, error) { return nil, errNoSpace }

func (fullDisk) Remove(string) error { return errNoSpace }

// A hint file that could not be written is written again, although the backend
// servers have not changed since.
func TestHintIsWrittenAgainAfterAFailure(t *testing.T) {
	c := qt.New(t)
	failed := make(chan error, 1)
	f := newHintFile(fullDisk{}, func(err error) { failed <- err })
	f.save(7, nil)
	c.Assert(<-failed, qt.ErrorMatches, ".*no space left.*")
	for f.writing.Load() { // the write ends right after it reported the error
		time.Sleep(time.Millisecond)
	}
	c.Assert(f.due(7), qt.IsFalse, qt.Commentf("not before minHintInterval"))
	f.savedAt = f.savedAt.Add(-minHintInterval)
	c.Assert(f.due(7), qt.IsTrue)
}
