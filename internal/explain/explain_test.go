package explain

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func parse(t *testing.T, text string) []Line {
	lines, _, err := Parse(strings.NewReader(text))
	qt.Assert(t, err, qt.IsNil)
	return lines
}

// TestTimelines builds the timelines of docs/OPERATIONS.md from log lines alone.
func TestTimelines(t *testing.T) {
	tests := []struct {
		log   string
		query Query
		want  []string // host, kind and outcome of each line
	}{
		{"refused.log", Query{Caller: "100.65.0.27:1062"}, []string{
			"entry-1 backend draining", "entry-1 backend gone", "entry-1 no_server refuse",
		}},
		{"silent.log", Query{Request: "40332d0c"}, []string{
			"entry-3 version 49", "entry-3 placed forward", "entry-3 by_token forward", "entry-3 by_token forward",
			"entry-5 suspect ready", "entry-1 backend silent",
		}},
		{"unanswered.log", Query{Version: "5"}, []string{
			"control-c quorum false", "control-c peer false",
			"control-c document no control host leads; try again in a second, or ask a control host that reaches a quorum",
			"control-a document accepted", "entry-1 version 5", "control-a document accepted",
		}},
		{"silent.log", Query{Request: "unknown"}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.log, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", tt.log))
			qt.Assert(t, err, qt.IsNil)
			var got []string
			for _, l := range Timeline(parse(t, string(data)), tt.query) {
				got = append(got, strings.TrimSpace(fmt.Sprintf("%s %s %s", l.Host, l.Kind, outcomeOf(l))))
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// outcomeOf returns the first field of the line that holds an outcome or a state.
func outcomeOf(l Line) string {
	for _, name := range []string{"verdict", "outcome", "status", "current", "connected", "version"} {
		if v := l.field(name); v != "" {
			return v
		}
	}
	return ""
}

func TestParse(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := Parse(strings.NewReader("no json\n" +
		"  46.2 entry-1 {\"time\":\"2026-01-24T09:35:40.5Z\",\"host\":\"entry-1\",\"kind\":\"start\",\"msg\":\"started\",\"born\":1769247350123}\n" +
		"{\"time\":\"yesterday\"}\n{\"cut\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(skipped, qt.Equals, 3)
	c.Assert(lines, qt.HasLen, 1)
	c.Assert(lines[0].field("born"), qt.Equals, "1769247350123")
	var out strings.Builder
	c.Assert(Write(&out, lines), qt.IsNil)
	c.Assert(out.String(), qt.Equals, "09:35:40.500  entry-1              start          started: born=1769247350123\n")
}

func FuzzParse(f *testing.F) {
	f.Add("  1.0 a {\"time\":\"2026-01-24T09:35:40Z\",\"caller\":\"x\"}")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Parse(strings.NewReader(text))
		if err == nil {
			Timeline(lines, Query{Caller: "x"})
		}
	})
}
