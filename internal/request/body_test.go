package request

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestShortBodyIsReadAgain(t *testing.T) {
	c := qt.New(t)
	b := NewBody(strings.NewReader("order"), 16)
	first, _ := b.Reader()
	_, err := io.ReadFull(first, make([]byte, 3))
	c.Assert(err, qt.IsNil)
	second, ok := b.Reader()
	c.Assert(ok, qt.IsTrue)
	text, err := io.ReadAll(second)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Equals, "order")
	_, err = first.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.ErrClosedPipe)
}

func TestLongBodyIsReadOnceAndNotKept(t *testing.T) {
	c := qt.New(t)
	b := NewBody(strings.NewReader(strings.Repeat("x", 1<<20)), 1024)
	reader, _ := b.Reader()
	n, err := io.Copy(io.Discard, reader)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(1<<20))
	c.Assert(b.Kept(), qt.IsFalse)
	c.Assert(cap(b.kept), qt.Equals, 0)
	_, ok := b.Reader()
	c.Assert(ok, qt.IsFalse)
}
