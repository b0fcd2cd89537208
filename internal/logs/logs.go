// Package logs writes short log lines with a fixed prefix for each part.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"greengagequay/internal/config"
)

// Logger is the root of the parts' loggers.
type Logger struct{ root *logrus.Logger }

// New returns a logger that writes to w.
func New(w io.Writer, c config.Log) (*Logger, error) {
	level, err := logrus.ParseLevel(c.Level)
	if err != nil {
		return nil, err
	}
	root := logrus.New()
	root.SetOutput(w)
	root.SetLevel(level)
	if c.Format == "json" {
		root.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Logger{root: root}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	root := logrus.New()
	root.SetOutput(io.Discard)
	root.SetLevel(logrus.PanicLevel)
	return &Logger{root: root}
}

// Part returns the logger of one part. Its lines start with "part: ".
func (l *Logger) Part(name string) *Part {
	return &Part{prefix: name + ": ", entry: logrus.NewEntry(l.root)}
}

// Part logs the events of one part.
type Part struct {
	prefix string
	entry  *logrus.Entry
}

// With returns a logger whose lines carry a field.
func (p *Part) With(key string, value any) *Part {
	return &Part{prefix: p.prefix, entry: p.entry.WithField(key, value)}
}

// Debugf logs a detail.
func (p *Part) Debugf(format string, args ...any) { p.entry.Debugf(p.prefix+format, args...) }

// Infof logs an event.
func (p *Part) Infof(format string, args ...any) { p.entry.Infof(p.prefix+format, args...) }

// Warnf logs an event that an operator should look at.
func (p *Part) Warnf(format string, args ...any) { p.entry.Warnf(p.prefix+format, args...) }

// Errorf logs a failure.
func (p *Part) Errorf(format string, args ...any) { p.entry.Errorf(p.prefix+format, args...) }
