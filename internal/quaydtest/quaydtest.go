// Package quaydtest builds the program quayd for tests that run hosts as processes.
package quaydtest

import (
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Build builds the program and returns its path. The end of the test removes it.
func Build(t testing.TB) string {
	program := filepath.Join(t.TempDir(), "quayd")
	out, err := exec.Command("go", "build", "-o", program, "greengagequay/cmd/quayd").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return program
}
