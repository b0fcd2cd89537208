package config

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEveryFieldIsDocumented checks that docs/operators/install.md lists every
// field of Config, and no others.
func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/install.md")
	qt.Assert(t, err, qt.IsNil)
	fields := map[string]bool{}
	for i := range reflect.TypeFor[Config]().NumField() {
		name := reflect.TypeFor[Config]().Field(i).Tag.Get("json")
		fields[name] = true
		qt.Check(t, string(page), qt.Contains, "| `"+name+"` |")
	}
	for _, line := range strings.Split(string(page), "\n") {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ = strings.Cut(name, "`")
			qt.Check(t, fields[name], qt.IsTrue, qt.Commentf("field %s does not exist", name))
		}
	}
}
