package codec_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/codec"
)

// moreThanDefault is more elements than the library decodes by default.
const moreThanDefault = 131073

// node nests.
type node struct {
	Next *node
}

func nested(levels int) *node {
	var n *node
	for range levels {
		n = &node{n}
	}
	return n
}

func roundTrip[T any](t *testing.T, name string, value T) {
	t.Run(name, func(t *testing.T) {
		c := qt.New(t)
		data, err := codec.Marshal(value)
		c.Assert(err, qt.IsNil)
		var got T
		c.Assert(codec.Unmarshal(data, &got), qt.IsNil)
		again, err := codec.Marshal(got)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(data, again), qt.IsTrue)
	})
}

// Guards against values that are sent or stored and can't be read again.
func TestEncodedValuesDecode(t *testing.T) {
	many := map[int]bool{}
	for i := range moreThanDefault {
		many[i] = true
	}
	roundTrip(t, "a string that is no UTF-8", "i-\xff\xc3\x28")
	roundTrip(t, "a key that is no UTF-8", map[string]int{"\xff": 1})
	roundTrip(t, "a long array", make([]string, moreThanDefault))
	roundTrip(t, "a deep value", nested(100))
	t.Run("a large map", func(t *testing.T) {
		data, err := codec.Marshal(many)
		qt.Assert(t, err, qt.IsNil)
		var got map[int]bool
		qt.Assert(t, codec.Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got, qt.HasLen, len(many))
	})
}

func FuzzText(f *testing.F) {
	f.Add("i-7f", "\xff")
	f.Fuzz(func(t *testing.T, a, b string) {
		data, err := codec.Marshal([]string{a, b})
		qt.Assert(t, err, qt.IsNil)
		var got []string
		qt.Assert(t, codec.Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []string{a, b})
	})
}

// No other package may use the library with its defaults.
func TestOnlyThisPackageUsesTheLibrary(t *testing.T) {
	for _, folder := range []string{"..", "../../cmd", "../../platform"} {
		err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".go" || strings.HasPrefix(path, "../codec/") {
				return err
			}
			source, err := os.ReadFile(path)
			qt.Check(t, bytes.Contains(source, []byte("fxamacker")), qt.IsFalse, qt.Commentf("%s", path))
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
}
