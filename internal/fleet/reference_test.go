package fleet

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReferenceListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/token-hosts.md")
	qt.Assert(t, err, qt.IsNil)
	fields := reflect.VisibleFields(reflect.TypeFor[Config]())
	for _, f := range fields {
		qt.Check(t, strings.Contains(string(page), "| `"+f.Tag.Get("json")+"` |"), qt.IsTrue, qt.Commentf("%s", f.Name))
	}
}
