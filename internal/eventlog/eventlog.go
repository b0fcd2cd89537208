// Package eventlog writes one JSON line for each decision and each change of
// what a process believes. Its volume is bounded by a budget per kind of line
// and second, and writing never blocks: lines that the output does not take in
// time are left out and counted.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

const (
	queuedLines   = 256         // that wait for a slow output
	budgetPerKind = 20          // lines of one kind in a window
	budgetWindow  = time.Second // after which the budgets are full again
)

// Log writes lines. It is safe for concurrent use.
type Log struct {
	root  *logrus.Logger
	host  string
	out   *queue
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*budget
}

// budget bounds the lines of one kind.
type budget struct {
	since   time.Time
	written int
	leftOut int64
}

// New returns a log of a host that writes to w from a goroutine of its own,
// until Close.
func New(w io.Writer, host string, now func() time.Time) *Log {
	l := &Log{root: logrus.New(), host: host, out: newQueue(w), now: now, kinds: map[string]*budget{}}
	l.root.SetOutput(l.out)
	l.root.SetFormatter(formatter{})
	return l
}

// Output returns the writer behind the log, for other loggers of the process.
func (l *Log) Output() io.Writer { return l.out }

// Allow reports whether a line of this kind fits in its budget, and counts it.
// Callers ask before they gather the fields of a frequent line.
func (l *Log) Allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.kinds[kind]
	if b == nil {
		b = &budget{}
		l.kinds[kind] = b
	}
	if now := l.now(); now.Sub(b.since) >= budgetWindow {
		b.since, b.written = now, 0
	}
	if b.written >= budgetPerKind {
		b.leftOut++
		return false
	}
	b.written++
	return true
}

// Write writes a line that Allow has let through. It tells how many of its kind
// were left out, and how many lines the output did not take, since the start:
// a line that is lost itself then takes no count with it. It keeps the fields.
func (l *Log) Write(kind, message string, fields Fields) {
	l.mu.Lock()
	leftOut := int64(0)
	if b := l.kinds[kind]; b != nil {
		leftOut = b.leftOut
	}
	l.mu.Unlock()
	if fields == nil {
		fields = Fields{}
	}
	fields["host"], fields["kind"] = l.host, kind
	if leftOut > 0 {
		fields["left_out"] = leftOut
	}
	if lost := l.out.lostLines(); lost > 0 {
		fields["lost_lines"] = lost
	}
	entry := logrus.Entry{Logger: l.root, Data: fields}
	entry.Info(message)
}

// Event writes a line if it fits in the budget of its kind.
func (l *Log) Event(kind, message string, fields Fields) {
	if l.Allow(kind) {
		l.Write(kind, message, fields)
	}
}

// Close writes what is queued, but waits no longer than limit for the output.
func (l *Log) Close(limit time.Duration) { l.out.close(limit) }

// queue hands lines to an output that may block.
type queue struct {
	lines chan []byte
	done  chan struct{}
	mu    sync.Mutex
	shut  bool
	lost  int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			_, _ = w.Write(line) // there is nowhere to report it to
		}
	}()
	return q
}

// Write queues one line. It never blocks and never fails.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shut {
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.lost++
	}
	return len(p), nil
}

// lostLines returns how many lines the output did not take so far.
func (q *queue) lostLines() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

func (q *queue) close(limit time.Duration) {
	q.mu.Lock()
	if !q.shut {
		q.shut = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}
