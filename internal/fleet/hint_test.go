package fleet

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/catalog"
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
	f := newHintFile[catalog.Record](fullDisk{}, backendsHintName, func(err error) { failed <- err })
	f.save(7, nil)
	c.Assert(<-failed, qt.ErrorMatches, ".*no space left.*")
	for f.writing.Load() { // the write ends right after it reported the error
		time.Sleep(time.Millisecond)
	}
	c.Assert(f.due(7), qt.IsFalse, qt.Commentf("not before minHintInterval"))
	f.savedAt = f.savedAt.Add(-minHintInterval)
	c.Assert(f.due(7), qt.IsTrue)
}

// Guards against a hint file that one record makes unreadable.
func TestHintWithAnIDThatIsNoUTF8IsLoaded(t *testing.T) {
	c := qt.New(t)
	folder, err := wal.OpenFolder(t.TempDir())
	c.Assert(err, qt.IsNil)
	f := newHintFile[catalog.Record](folder, backendsHintName, nil)
	records := []catalog.Record{
		{Heartbeat: catalog.Heartbeat{ID: "i-\xff", Service: "orders"}},
		{Heartbeat: catalog.Heartbeat{ID: "i-a1", Service: "orders"}},
	}
	c.Assert(f.write(records), qt.IsNil)
	got, err := f.load()
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, len(records))
	c.Assert(got[0].ID, qt.Equals, "i-\xff")
}

// Guards against a control host that restarts with a backend server of an unknown service,
// announced before the first document: it took the address of one that runs.
func TestNoHintBeforeTheFirstDocument(t *testing.T) {
	h := &ControlHost{hint: newHintFile[catalog.Record](fullDisk{}, backendsHintName, nil)}
	qt.Assert(t, h.isHintDue(1), qt.IsFalse)
	h.services = map[string]bool{"orders": true}
	qt.Assert(t, h.isHintDue(1), qt.IsTrue)
}
