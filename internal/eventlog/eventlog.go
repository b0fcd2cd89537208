// Package eventlog writes one JSON line for each decision of a process and each
// change of its view of the system. A budget per kind of line and second limits
// the volume. Writing never blocks: lines over the budget, and lines that the
// output does not accept in time, are dropped and counted.
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
	queueCapacity = 256         // lines that can wait for a slow output
	budgetPerKind = 20          // lines of one kind that are written in one window
	budgetWindow  = time.Second // time after which the budget of a kind is reset
)

// Log writes the event lines of one host. It is safe for concurrent use.
type Log struct {
	root  *logrus.Logger
	host  string
	out   *queue
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*budget
}

// budget counts the lines of one kind in the current window.
type budget struct {
	windowStart time.Time
	written     int
	leftOut     int64 // lines over the budget since the start
}

// New returns the log of a host. A goroutine of its own writes the lines to w
// until Close.
func New(w io.Writer, host string, now func() time.Time) *Log {
	l := &Log{root: logrus.New(), host: host, out: newQueue(w), now: now, kinds: map[string]*budget{}}
	l.root.SetOutput(l.out)
	l.root.SetFormatter(formatter{})
	return l
}

// Output returns the queue that the log writes to, so that other loggers of the
// process can write to it too. Their lines count toward no budget.
func (l *Log) Output() io.Writer { return l.out }

// Allow reports whether the budget allows another line of this kind, and counts
// the line. Callers check it before they collect the fields of a frequent line.
func (l *Log) Allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.kinds[kind]
	if b == nil {
		b = &budget{}
		l.kinds[kind] = b
	}
	if now := l.now(); now.Sub(b.windowStart) >= budgetWindow {
		b.windowStart, b.written = now, 0
	}
	if b.written >= budgetPerKind {
		b.leftOut++
		return false
	}
	b.written++
	return true
}

// Write writes a line that Allow has admitted. It adds the number of lines of
// this kind over the budget and the number of lines that the output did not
// accept, if any. Both are totals since the start, so that no count is lost with a
// lost line. Write takes ownership of fields.
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

// Event writes a line if the budget of its kind allows it.
func (l *Log) Event(kind, message string, fields Fields) {
	if l.Allow(kind) {
		l.Write(kind, message, fields)
	}
}

// Close writes the queued lines, but waits at most limit for the output. Lines
// written after Close are discarded.
func (l *Log) Close(limit time.Duration) { l.out.close(limit) }

// queue decouples the writers of lines from an output that may block.
type queue struct {
	lines  chan []byte
	done   chan struct{}
	mu     sync.Mutex
	closed bool
	lost   int64
}

func newQueue(w io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			_, _ = w.Write(line) // a failed write of the log cannot be reported anywhere
		}
	}()
	return q
}

// Write queues one line. It never blocks or fails; if the queue is full, the line
// is lost and counted.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.lost++
	}
	return len(p), nil
}

// lostLines returns the number of lines lost to a full queue so far.
func (q *queue) lostLines() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

func (q *queue) close(limit time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}
