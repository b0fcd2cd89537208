package jsonc

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

type sample struct {
	Name string         `json:"name"`
	Map  map[string]int `json:"map"`
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	data := []byte("{\n// who\n\"name\": \"a\", \"map\": {\"x\": 1,},}")
	before := string(data)
	var s sample
	c.Assert(Decode(data, &s), qt.IsNil)
	c.Assert(s, qt.DeepEquals, sample{Name: "a", Map: map[string]int{"x": 1}})
	c.Assert(string(data), qt.Equals, before)
}

func TestRefused(t *testing.T) {
	for _, tc := range []struct{ data, want string }{
		{`{"name": "a", "name": "b"}`, `"name" appears twice`},
		{`{"map": {"x": 1, "x": 2}}`, `"map.x" appears twice`},
		{`{"nom": "a"}`, `unknown field "nom"`},
		{`{"name": "a"} {}`, `after`},
		{`{"name": `, `unexpected EOF`},
		{`{"name": 3}`, `cannot unmarshal`},
		{"{\"name\": \"\xff\"}", `invalid UTF-8`},
		{"{\"map\": {\"\xff\": 1}}", `invalid UTF-8`},
		{`{"name": "\ud800"}`, `surrogate`},
		{`{"Name": "a"}`, `unknown field "Name"`},
		{`{"name": "a", "NAME": "b"}`, `unknown field "NAME"`},
		{`{"map": {"x": 1, "\u0078": 2}}`, `twice|duplicate`},
	} {
		err := Decode([]byte(tc.data), new(sample))
		qt.Check(t, err, qt.ErrorMatches, ".*"+tc.want+".*", qt.Commentf("%s", tc.data))
	}
}

// Errors name the line, counted with comments.
func TestErrorsNameTheLine(t *testing.T) {
	for _, tc := range []struct{ data, want string }{
		{"{\n// who\n\"name\": \"a\",\n\"name\": \"b\"}", "line 4: .*"},
		{"{\n/* a\n comment */\n\"nom\": \"a\"}", "line 4: .*unknown field.*"},
		{"{\"name\": \"a\",\n\n\"map\": {\"x\": \"many\"}}", "line 3: .*cannot unmarshal.*"},
		{"{\n\"name\" \"a\"}", ".*line 2.*"},
	} {
		err := Decode([]byte(tc.data), new(sample))
		qt.Check(t, err, qt.ErrorMatches, tc.want, qt.Commentf("%s", tc.data))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "map": {"x": 1}} // end`))
	f.Add([]byte(`[{"a": [{"a": 1}]}]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Decode(data, new(sample))
	})
}
