// Package explain builds the timeline of one request, flow, backend server or
// document from the log lines of several hosts. It opens no files and reads no
// clock.
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
	Fields  map[string]any // all other fields except the level
}

// maxLineBytes limits the length of one line of a log.
const maxLineBytes = 1 << 20

// Parse reads the log of one or several hosts. It ignores text before the JSON
// object of a line. Lines without a valid JSON object or time are skipped and
// counted.
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
		return nil, skipped, fault.New(fault.Invalid, "pass logs of hosts of this system", "read log: %w", err)
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

// text formats a value as text. It returns the empty string for nil.
func text(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// field returns the field called name as text, or the empty string if the line
// has no such field.
func (l Line) field(name string) string { return text(l.Fields[name]) }

// Query selects what to explain. Exactly one field is set.
type Query struct {
	Request string // id of a request
	Caller  string // IP:port of a flow's caller
	Backend string // id of a backend server
	Version string // version of a document
}

// contextBefore and contextAfter extend the time range of the lines that match a
// query. Lines in this range that report the state of the hosts and backend
// servers involved belong to the timeline.
const (
	contextBefore = 10 * time.Second
	contextAfter  = 3 * time.Second
)

// stateKinds are the kinds of lines that report a host's view of the system. The
// empty kind stands for lines of a host's other loggers, which have no kind.
var stateKinds = []string{"start", "stop", "reload", "peer", "quorum", "version", "members", "document", "hint", ""}

// Timeline returns the lines that belong to a query, sorted by time. It returns
// nil if no line matches the query.
func Timeline(lines []Line, q Query) []Line {
	s := newScope(lines, q)
	if len(s.matched) == 0 {
		return nil
	}
	var timeline []Line
	for _, l := range lines {
		if s.includes(l) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

// scope holds the lines that match a query, their time range, and the callers,
// backend servers, hosts and services in them.
type scope struct {
	query    Query
	callers  map[string]bool
	backends map[string]bool
	hosts    map[string]bool
	services map[string]bool // services of matching lines without a backend server
	matched  []Line          // lines that match the query
	from, to time.Time
}

func newScope(lines []Line, q Query) *scope {
	s := &scope{query: q, callers: map[string]bool{}, backends: map[string]bool{}, hosts: map[string]bool{}, services: map[string]bool{}}
	for _, l := range lines {
		if q.Request != "" && l.field("request") == q.Request {
			s.callers[l.field("caller")] = true
		}
	}
	if q.Caller != "" {
		s.callers[q.Caller] = true
	}
	for _, l := range lines {
		if s.matches(l) {
			s.add(l)
		}
	}
	return s
}

// matches reports whether a line is about the subject of the query.
func (s *scope) matches(l Line) bool {
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

// add adds a matching line and extends the scope by what the line names.
func (s *scope) add(l Line) {
	if len(s.matched) == 0 || l.At.Before(s.from) {
		s.from = l.At
	}
	if len(s.matched) == 0 || l.At.After(s.to) {
		s.to = l.At
	}
	s.matched = append(s.matched, l)
	s.hosts[l.Host] = true
	if b := l.field("backend"); b != "" {
		s.backends[b] = true
	} else if name := l.field("service"); name != "" {
		s.services[name] = true
	}
}

// includes reports whether a line belongs to the timeline. It does if it matches
// the query. Within the extended time range, these lines also do: those that name
// a backend server in the scope and no caller, and those in which a host in the
// scope reports its view of the system or a backend server of a service in the
// scope.
func (s *scope) includes(l Line) bool {
	if s.matches(l) {
		return true
	}
	if l.At.Before(s.from.Add(-contextBefore)) || l.At.After(s.to.Add(contextAfter)) {
		return false
	}
	aboutBackend := s.backends[l.field("backend")] && l.field("caller") == ""
	aboutService := l.Kind == "backend" && s.services[l.field("service")]
	return aboutBackend || s.hosts[l.Host] && (aboutService || slices.Contains(stateKinds, l.Kind))
}

// Write writes a timeline. Each line has time, host, kind, message and fields.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for name, value := range l.Fields {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
		slices.Sort(fields)
		_, err := fmt.Fprintf(w, "%s  %-20s %-14s %s: %s\n", l.At.Format("15:04:05.000"), l.Host, l.Kind, l.Message, strings.Join(fields, " "))
		if err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}
