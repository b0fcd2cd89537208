// Package explain tells the story of one request, flow, backend server or
// document from the log lines of several hosts. It is pure.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"greengagequay/internal/fault"
)

// Line is one line of a host's log.
type Line struct {
	At      time.Time
	Host    string
	Kind    string
	Message string
	Fields  map[string]any // all others
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Parse reads the log of one or several hosts. What stands before the JSON
// object of a line is left out, and lines without one are counted as skipped.
func Parse(r io.Reader) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		line, ok := parseLine(in.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := in.Err(); err != nil {
		return nil, skipped, fault.New(fault.Invalid, "give logs of hosts of this system", "read log: %w", err)
	}
	return lines, skipped, nil
}

func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(data[start:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	l := Line{At: at, Host: text(fields["host"]), Kind: text(fields["kind"]), Message: text(fields["msg"]), Fields: fields}
	for _, name := range []string{"time", "host", "kind", "msg", "level"} {
		delete(fields, name)
	}
	return l, true
}

func text(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// field returns a field as text.
func (l Line) field(name string) string { return text(l.Fields[name]) }

// Query names what to explain. One field is set.
type Query struct {
	Request string // id of a request
	Caller  string // IP:port of a flow's caller
	Backend string // id of a backend server
	Version string // of a document
}

// before and after are how much of what hosts believed around the time of the
// query's own lines belongs to its story.
const (
	before = 10 * time.Second
	after  = 3 * time.Second
)

// beliefs are the kinds of lines that tell what a host believed.
var beliefs = []string{"start", "stop", "reload", "peer", "quorum", "version", "members", "document", "hint", ""}

// Story returns the lines that belong to a query, in order. It is empty if no
// line names what was asked for.
func Story(lines []Line, q Query) []Line {
	s := newStory(lines, q)
	if len(s.own) == 0 {
		return nil
	}
	var told []Line
	for _, l := range lines {
		if s.tells(l) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b Line) int { return a.At.Compare(b.At) })
	return told
}

// story is what the lines of a query name.
type story struct {
	query    Query
	callers  map[string]bool
	backends map[string]bool
	hosts    map[string]bool
	services map[string]bool // for which no backend server was found
	own      []Line          // those that the query names directly
	from, to time.Time
}

func newStory(lines []Line, q Query) *story {
	s := &story{query: q, callers: map[string]bool{}, backends: map[string]bool{}, hosts: map[string]bool{}, services: map[string]bool{}}
	for _, l := range lines {
		if q.Request != "" && l.field("request") == q.Request {
			s.callers[l.field("caller")] = true
		}
	}
	if q.Caller != "" {
		s.callers[q.Caller] = true
	}
	for _, l := range lines {
		if s.names(l) {
			s.add(l)
		}
	}
	return s
}

// names reports whether a line is about what was asked for.
func (s *story) names(l Line) bool {
	switch {
	case s.callers[l.field("caller")]:
		return true
	case s.query.Backend != "":
		return l.field("backend") == s.query.Backend
	case s.query.Version != "":
		return l.field("version") == s.query.Version && (l.Kind == "document" || l.Kind == "version")
	}
	return false
}

func (s *story) add(l Line) {
	if len(s.own) == 0 || l.At.Before(s.from) {
		s.from = l.At
	}
	if len(s.own) == 0 || l.At.After(s.to) {
		s.to = l.At
	}
	s.own = append(s.own, l)
	s.hosts[l.Host] = true
	if b := l.field("backend"); b != "" {
		s.backends[b] = true
	} else if name := l.field("service"); name != "" {
		s.services[name] = true
	}
}

// tells reports whether a line belongs to the story: it is about what was asked
// for, about a backend server in it, or tells what a host in it believed.
func (s *story) tells(l Line) bool {
	if s.names(l) {
		return true
	}
	if l.At.Before(s.from.Add(-before)) || l.At.After(s.to.Add(after)) {
		return false
	}
	aboutBackend := s.backends[l.field("backend")] && l.field("caller") == ""
	aboutService := l.Kind == "backend" && s.services[l.field("service")]
	return aboutBackend || s.hosts[l.Host] && (aboutService || slices.Contains(beliefs, l.Kind))
}

// Write writes a story, a line each: time, host, kind, message and fields.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for name, value := range l.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		_, err := fmt.Fprintf(w, "%s  %-20s %-14s %s: %s\n", l.At.Format("15:04:05.000"), l.Host, l.Kind, l.Message, strings.Join(fields, " "))
		if err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}
