package metrics

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var metricCall = regexp.MustCompile(`\.(?:Counter|Gauge|Histogram)\("([^"]+)"`)

// Every metric that the code names must stand in the operators' page.
func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	qt.Assert(t, err, qt.IsNil)
	found := 0
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range metricCall.FindAllStringSubmatch(string(source), -1) {
			found++
			qt.Check(t, strings.Contains(string(page), "`"+m[1]), qt.IsTrue, qt.Commentf("metric %s in %s", m[1], path))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found > 0, qt.IsTrue)
}

func TestNamesAreBounded(t *testing.T) {
	r := New()
	for i := range maxSeries + 10 {
		r.Histogram("requests", string(rune('a'+i%26))+strings.Repeat("x", i/26), "order").Update(1)
	}
	names := 0
	r.reg.Each(func(string, any) { names++ })
	qt.Assert(t, names, qt.Equals, maxSeries+1)
}
