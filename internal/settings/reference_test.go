package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write docs/operators/settings.md")

const referencePath = "../../docs/operators/settings.md"

// reference returns the text of the reference page of all settings.
func reference() string {
	var b strings.Builder
	b.WriteString(`# Settings

Settings form a tree: ` + "`/`, `/service`, `/service/zone`, `/service/zone/backend`" + `. A value
holds for a node and everything below it, unless a deeper node overrides it.
` + "`quayctl settings explain PATH KEY`" + ` shows where a value comes from. This page is
written by ` + "`go test ./internal/settings -run TestReference -update`" + `.

| key | type | range | default | may be set at | meaning |
| --- | --- | --- | --- | --- | --- |
`)
	for _, k := range keys {
		fmt.Fprintf(&b, "| `%s` | %s | %s | `%s` | %s | %s |\n", k.Name, k.Type, k.rangeText(), k.Default, k.levelText(), k.Help)
	}
	return b.String()
}

func (k Key) rangeText() string {
	if k.Type != Int && k.Type != Float && k.Type != Duration {
		return ""
	}
	return strings.TrimSpace(fmt.Sprintf("%g to %g %s", k.Min, k.Max, k.rangeUnit()))
}

func (k Key) levelText() string {
	names := []string{"root", "service", "zone", "backend server"}
	if k.Only {
		return names[k.Deepest]
	}
	return strings.Join(names[:k.Deepest+1], ", ")
}

func TestReference(t *testing.T) {
	if *update {
		qt.Assert(t, os.WriteFile(referencePath, []byte(reference()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(referencePath)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, reference(), qt.Commentf("run go test ./internal/settings -run TestReference -update"))
}
