package eventlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
)

// output collects lines. Write blocks while mu is locked.
type output struct {
	mu    sync.Mutex
	lines []string
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, strings.TrimSpace(string(p)))
	return len(p), nil
}

// decoded returns the written lines. The log must be closed.
func (o *output) decoded(c *qt.C) []map[string]any {
	var list []map[string]any
	for _, line := range o.lines {
		fields := map[string]any{}
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		list = append(list, fields)
	}
	return list
}

// clock is a clock that tests set by hand.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

const closeTimeout = time.Minute // Close takes this long only if the output is blocked

func TestLine(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "entry-1", now.read)
	l.Event("placed", "steered a packet", Fields{"backend": "i-1"})
	l.Close(closeTimeout)
	lines := out.decoded(c)
	c.Assert(lines, qt.HasLen, 1)
	for name, want := range map[string]string{"host": "entry-1", "kind": "placed", "msg": "steered a packet", "backend": "i-1"} {
		c.Assert(lines[0][name], qt.Equals, want)
	}
	l.Event("placed", "after close", nil)
	c.Assert(out.lines, qt.HasLen, 1)
}

func TestBudget(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "entry-1", now.read)
	for range 3 * budgetPerKind {
		l.Event("placed", "x", nil)
	}
	l.Event("start", "another kind", nil)
	now.now = now.now.Add(budgetWindow)
	l.Event("placed", "next window", nil)
	l.Close(closeTimeout)
	lines := out.decoded(c)
	c.Assert(lines, qt.HasLen, budgetPerKind+2)
	c.Assert(lines[len(lines)-1]["left_out"], qt.Equals, float64(2*budgetPerKind))
}

// TestBlockedOutput checks that a blocked output loses lines but delays neither
// the writers nor Close beyond its limit.
func TestBlockedOutput(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "entry-1", now.read)
	out.mu.Lock()
	for i := range 2 * queueCapacity {
		l.Event(fmt.Sprintf("kind-%d", i), "x", nil)
	}
	l.Close(0)
	out.mu.Unlock()
	<-l.out.done
	written := len(out.decoded(c))
	c.Assert(written >= queueCapacity && written <= queueCapacity+1, qt.IsTrue, qt.Commentf("%d lines", written))
	c.Assert(l.out.lostLines(), qt.Equals, int64(2*queueCapacity-written))
}

func TestLostLinesAreReported(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "entry-1", now.read)
	l.out.lost = 7
	l.Event("start", "x", nil)
	l.Close(closeTimeout)
	c.Assert(out.decoded(c)[0]["lost_lines"], qt.Equals, float64(7))
}

// Guards against a line that no reader of JSON takes.
func TestLineIsUTF8(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "control-1", now.read)
	l.Event("malformed", "rejected", Fields{"backend": "i-\xff", "seeds": []string{"\xfe"}, "error": fmt.Errorf("id \xfd")})
	l.Close(closeTimeout)
	c.Assert(utf8.ValidString(out.lines[0]), qt.IsTrue)
	c.Assert(out.decoded(c)[0]["backend"], qt.Equals, "i-\ufffd")
}

// Guards against a log that another writer fills with one long id.
func TestLongTextIsCut(t *testing.T) {
	c := qt.New(t)
	out, now := &output{}, &clock{time.Unix(100, 0)}
	l := New(out, "control-1", now.read)
	long := strings.Repeat("ð", 1<<20)
	l.Event("malformed", long, Fields{"backend": long, "hosts": []string{long}, "error": errors.New(long)})
	l.Close(closeTimeout)
	c.Assert(len(out.lines[0]) < 5*maxTextBytes, qt.IsTrue)
	c.Assert(out.decoded(c)[0]["backend"], qt.Equals, strings.Repeat("ð", maxTextBytes/2)+cutMark)
}
