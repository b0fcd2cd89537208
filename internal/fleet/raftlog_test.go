package fleet

import (
	"bytes"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/control"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
	"greengagequay/internal/metrics"
	"greengagequay/internal/raft"
	"greengagequay/internal/wal"
)

// fixedNamesDisk refuses to rename files.
type fixedNamesDisk struct{ wal.Disk }

func (fixedNamesDisk) Rename(string, string) error { return errors.New("read-only file system") }

// Guards against a log line and a count that say that a log was set aside which was not.
func TestLogThatCouldNotBeSetAside(t *testing.T) {
	c := qt.New(t)
	folder, err := wal.OpenFolder(t.TempDir())
	c.Assert(err, qt.IsNil)
	log, _, err := wal.Open(folder, func() raft.ID { return 1 })
	c.Assert(err, qt.IsNil)
	c.Assert(log.Close(), qt.IsNil)
	var out bytes.Buffer
	h := &ControlHost{metrics: metrics.New(), log: eventlog.New(&out, "c", time.Now)}
	_, err = h.reopen(control.Options{Disk: fixedNamesDisk{folder}}, fault.New(fault.Corrupt, "", "a frame is malformed"))
	c.Assert(err, qt.ErrorMatches, ".*read-only file system.*")
	h.log.Close(time.Minute)
	c.Assert(out.String(), qt.Contains, "could not set the damaged log aside")
	c.Assert(out.String(), qt.Contains, "a frame is malformed")
	c.Assert(h.metrics.Counter("control.logs_set_aside").Count(), qt.Equals, int64(0))
}
