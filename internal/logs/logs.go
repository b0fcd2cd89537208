// Package logs writes short log lines with a fixed prefix for each component.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"greengagequay/internal/config"
)

// Logger is the root of the loggers of all components.
type Logger struct{ root *logrus.Logger }

// New returns a logger that writes to w with the level and format of c.
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

// Component returns the logger of a component. Its lines start with the name and
// a colon.
func (l *Logger) Component(name string) *Component {
	return &Component{prefix: name + ": ", entry: logrus.NewEntry(l.root)}
}

// Component logs the events of one component.
type Component struct {
	prefix string
	entry  *logrus.Entry
}

// With returns a logger that adds a field to its lines.
func (p *Component) With(key string, value any) *Component {
	return &Component{prefix: p.prefix, entry: p.entry.WithField(key, value)}
}

// Debugf logs a detail.
func (p *Component) Debugf(format string, args ...any) { p.entry.Debugf(p.prefix+format, args...) }

// Infof logs an event.
func (p *Component) Infof(format string, args ...any) { p.entry.Infof(p.prefix+format, args...) }

// Warnf logs an event that an operator should look at.
func (p *Component) Warnf(format string, args ...any) { p.entry.Warnf(p.prefix+format, args...) }

// Errorf logs a failure.
func (p *Component) Errorf(format string, args ...any) { p.entry.Errorf(p.prefix+format, args...) }
