package request

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/fault"
)

// TestEveryKindIsDocumented checks that the operators' page lists each kind of
// error with its HTTP status.
func TestEveryKindIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/operators/errors.md")
	c.Assert(err, qt.IsNil)
	source, err := os.ReadFile("../fault/fault.go")
	c.Assert(err, qt.IsNil)
	kinds := regexp.MustCompile(`Kind += "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	c.Assert(len(kinds) > 0, qt.IsTrue)
	for _, m := range kinds {
		row := fmt.Sprintf("| `%s` | %d |", m[1], StatusOf(fault.Kind(m[1])))
		c.Check(string(page), qt.Contains, row)
	}
}
