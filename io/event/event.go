// Package event defines the catalogue of numbered log events and the logger that writes them.
package event

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Severity classifies events by the attention that they need.
type Severity int

const (
	// Info events need no attention.
	Info Severity = iota
	// Warning events should be looked into.
	Warning
	// Failure events need action.
	Failure
)

// Event is a kind of log line. Its number and name identify it in the log.
type Event struct {
	Number   int
	Name     string
	Severity Severity
	Meaning  string
}

// Logger writes events as logfmt lines.
type Logger struct {
	base log.Logger
}

// NewLogger returns a Logger that writes to w and adds the time and the instance name to
// each line.
func NewLogger(w io.Writer, instance string) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return Logger{base: log.With(base, "ts", log.DefaultTimestampUTC, "instance", instance)}
}

// Log writes one event with alternating keys and values. It does nothing on a zero
// Logger.
func (l Logger) Log(e Event, pairs ...any) {
	if l.base == nil {
		return
	}
	out := log.With(l.withLevel(e.Severity), "event", e.Number, "name", e.Name)
	_ = out.Log(pairs...)
}

func (l Logger) withLevel(s Severity) log.Logger {
	switch s {
	case Warning:
		return level.Warn(l.base)
	case Failure:
		return level.Error(l.base)
	}
	return level.Info(l.base)
}
