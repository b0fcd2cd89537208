package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func read(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// TestInvariantsNameTestsThatExist checks that each test named in
// docs/INVARIANTS.md exists in its package.
func TestInvariantsNameTestsThatExist(t *testing.T) {
	c := qt.New(t)
	mention := regexp.MustCompile("`([a-z/]+)`|\\b(Test[A-Za-z0-9]+)")
	pkg, found := "", 0
	for _, m := range mention.FindAllStringSubmatch(read(t, "../../docs/INVARIANTS.md"), -1) {
		if m[1] != "" {
			pkg = m[1]
			continue
		}
		found++
		c.Check(strings.Contains(testSource(t, pkg), "func "+m[2]+"("), qt.IsTrue, qt.Commentf("%s in package %s", m[2], pkg))
	}
	c.Assert(found > 0, qt.IsTrue)
}

// testSource returns the source of all test files of a package.
func testSource(t *testing.T, pkg string) string {
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	qt.Assert(t, err, qt.IsNil)
	var all strings.Builder
	for _, f := range files {
		all.WriteString(read(t, f))
	}
	return all.String()
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	page := read(t, "../../docs/ARCHITECTURE.md")
	entries, err := os.ReadDir("..")
	qt.Assert(t, err, qt.IsNil)
	for _, e := range entries {
		name := "`" + e.Name() + "`"
		if e.Name() == "filter" {
			name = "`filter/...`"
		}
		qt.Check(t, strings.Contains(page, name), qt.IsTrue, qt.Commentf("package %s", e.Name()))
	}
}

// TestLinksResolve checks that each relative link of a page points to a file that
// exists.
func TestLinksResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	pages, err := filepath.Glob("../../docs/*/*.md")
	qt.Assert(t, err, qt.IsNil)
	top, err := filepath.Glob("../../docs/*.md")
	qt.Assert(t, err, qt.IsNil)
	for _, page := range append(append(pages, top...), "../../README.md") {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s", page, m[1]))
		}
	}
}
