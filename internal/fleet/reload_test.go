package fleet

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/eventlog"
)

func TestReload(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	write(entrySettings)
	f, err := openSettings(path)
	c.Assert(err, qt.IsNil)
	f.log = eventlog.New(io.Discard, "e1", time.Now)
	defer f.log.Close(time.Second)

	_, changed := f.reload()
	c.Assert(changed, qt.IsFalse, qt.Commentf("the same text"))
	write(strings.Replace(entrySettings, "10.0.0.9:80", "10.0.0.7:80", 1))
	cfg, changed := f.reload()
	c.Assert(changed, qt.IsTrue)
	c.Assert(cfg.Seeds, qt.DeepEquals, []string{"10.0.0.7:80"})
	write("{ half")
	_, changed = f.reload()
	c.Assert(changed, qt.IsFalse)
	c.Assert(f.cfg.Seeds, qt.DeepEquals, []string{"10.0.0.7:80"}, qt.Commentf("the last valid settings stay in force"))
	c.Assert(os.Remove(path), qt.IsNil)
	_, changed = f.reload()
	c.Assert(changed, qt.IsFalse)
}
