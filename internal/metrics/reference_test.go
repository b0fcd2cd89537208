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

var metricCall = regexp.MustCompile(`\.(?:Counter|Gauge|GaugeFunc|Histogram|Timing)\("([^"]+)"`)

// TestEveryMetricIsDocumented checks that docs/operators/metrics.md contains every
// metric that the code names.
func TestEveryMetricIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/operators/metrics.md")
	c.Assert(err, qt.IsNil)
	names := metricsInSource(t)
	c.Assert(len(names) > 0, qt.IsTrue)
	var missing []string
	for _, name := range names {
		if !strings.Contains(string(page), "`"+name) {
			missing = append(missing, name)
		}
	}
	c.Assert(missing, qt.HasLen, 0)
}

// metricsInSource returns the names of metrics that the code uses.
func metricsInSource(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range metricCall.FindAllStringSubmatch(string(source), -1) {
			names = append(names, m[1])
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return names
}

func TestSeriesAreBounded(t *testing.T) {
	r := New()
	for i := range maxSeries + 10 {
		r.Histogram("requests", string(rune('a'+i%26))+strings.Repeat("x", i/26), "order").Update(1)
	}
	names := 0
	r.reg.Each(func(string, any) { names++ })
	qt.Assert(t, names, qt.Equals, maxSeries+1)
}
