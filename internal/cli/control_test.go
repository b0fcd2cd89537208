package cli

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestControlCommands(t *testing.T) {
	c := qt.New(t)
	server := startHost(t)
	code, _, errOut := quayctl(server, "settings", "set", "/", "request.queue", "9")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	code, out, _ := quayctl(server, "control", "members")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Matches, `(?s).*rvk-a-1 .*voter *true .*`)
	code, _, errOut = quayctl(server, "control", "remove", "rvk-a-1")
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Matches, `(?s).*only voter.*remedy: add and promote another.*`)

	backup := filepath.Join(c.TempDir(), "backup")
	code, _, errOut = quayctl(server, "control", "snapshot", backup)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	code, _, errOut = quayctl(server, "control", "snapshot", backup)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Matches, `(?s).*remedy: name a file that does not exist.*`)

	restore := []string{"control", "restore", backup, "--data", filepath.Join(c.TempDir(), "data"), "--name", "new", "--rpc", "127.0.0.1:1"}
	code, _, errOut = quayctl(server, restore...)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	code, _, errOut = quayctl(server, restore...)
	c.Assert(code, qt.Equals, exitFailure)
	c.Assert(errOut, qt.Matches, `(?s).*remedy: name an empty folder.*`)
}
