package strictjson_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/strictjson"
)

type sample struct {
	Name *string   `json:"name"`
	Size *int      `json:"size"`
	List []*sample `json:"list"`
}

// Guards against text that is taken for a message though its sender cannot have meant it.
func TestRefused(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":                     ``,
		"a byte that is no UTF-8":     "{\"name\":\"\xff\"}",
		"the same in an extra field":  "{\"other\":[\"\xc3\x28\"]}",
		"the same in a name":          "{\"\xff\":1}",
		"an encoded surrogate":        "{\"name\":\"\xed\xa0\x80\"}",
		"half of a pair":              `{"name":"\ud800"}`,
		"a pair in the wrong order":   `{"name":"\udc00\ud800"}`,
		"half of a pair in an extra":  `{"other":"\ud800"}`,
		"a field twice":               `{"name":"a","name":"b"}`,
		"a field twice, escaped":      `{"name":"a","n\u0061me":"b"}`,
		"an extra field twice":        `{"other":{"a":1,"a":2}}`,
		"a byte order mark":           "\ufeff{}",
		"data after the value":        `{} {}`,
		"an array":                    `[]`,
		"a number as text":            `{"size":"1"}`,
		"a fraction as whole number":  `{"size":1.5}`,
		"a number out of range":       `{"size":9223372036854775808}`,
		"text as a number":            `{"name":1}`,
		"an object as text":           `{"name":{}}`,
		"an object as list":           `{"list":{}}`,
		"a truncated value":           `{"name":"a"`,
		"another type inside of list": `{"list":[{"size":true}]}`,
	} {
		var s sample
		qt.Check(t, strictjson.Decode([]byte(text), &s), qt.IsNotNil, qt.Commentf(name))
	}
}

// Guards against strictness that costs what is allowed.
func TestTaken(t *testing.T) {
	for name, text := range map[string]string{
		"any order":                        `{"size":2,"name":"a"}`,
		"extra fields":                     `{"other":{"name":[1e999,null]},"name":"a","more":"\ud83d\ude00","size":2}`,
		"extra fields that differ in case": `{"name":"a","Name":"b","SIZE":"many","size":2}`,
		"white space":                      "\r\n\t {\"name\" : \"a\" , \"size\":2}\n",
		"escapes":                          `{"\u006eame":"\u0061","size":2}`,
	} {
		var s sample
		qt.Assert(t, strictjson.Decode([]byte(text), &s), qt.IsNil, qt.Commentf(name))
		qt.Check(t, *s.Name, qt.Equals, "a", qt.Commentf(name))
		qt.Check(t, *s.Size, qt.Equals, 2, qt.Commentf(name))
	}
}

func TestCheck(t *testing.T) {
	for text, isValid := range map[string]bool{
		`{"a":[1,"\u00f0"]}`: true, `1`: true, `{"a":1,"a":2}`: false, `"\ud800"`: false, "\"\xff\"": false, `{} {}`: false, ``: false,
	} {
		qt.Check(t, strictjson.Check([]byte(text)) == nil, qt.Equals, isValid, qt.Commentf("%q", text))
	}
}

func TestNullIsMissing(t *testing.T) {
	var s sample
	qt.Assert(t, strictjson.Decode([]byte(`{"name":null,"list":null}`), &s), qt.IsNil)
	qt.Assert(t, s.Name == nil && s.Size == nil && s.List == nil, qt.IsTrue)
}

var looseDecoding = regexp.MustCompile(`\bjson\.(Unmarshal|NewDecoder)\(`)

// Guards against a decoder of the platform's messages that is not strict.
func TestPlatformDecodesStrictly(t *testing.T) {
	files, err := filepath.Glob("../../platform/*.go")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, looseDecoding.Match(text), qt.IsFalse, qt.Commentf(file))
	}
}

// FuzzDecode checks that what is taken is UTF-8 and JSON by the standard library, too.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"a","size":1,"list":[{"name":"b"}]}`))
	f.Add([]byte("{\"name\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		if strictjson.Decode(data, &s) != nil {
			return
		}
		qt.Assert(t, utf8.Valid(data) && json.Valid(data), qt.IsTrue)
		qt.Assert(t, strictjson.Check(data), qt.IsNil)
	})
}
