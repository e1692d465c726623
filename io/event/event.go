// Package event holds the catalogue of numbered log events.
package event

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Severity is the importance of an event.
type Severity int

const (
	// Info events tell what happened.
	Info Severity = iota
	// Warning events ask for a look.
	Warning
	// Failure events ask for action.
	Failure
)

// Event is one kind of log line.
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

// NewLogger returns a Logger that writes to w and adds instance to each line.
func NewLogger(w io.Writer, instance string) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return Logger{base: log.With(base, "ts", log.DefaultTimestampUTC, "instance", instance)}
}

// Log writes one event with pairs of keys and values.
func (l Logger) Log(e Event, pairs ...any) {
	if l.base == nil {
		return
	}
	out := log.With(l.leveled(e.Severity), "event", e.Number, "name", e.Name)
	_ = out.Log(pairs...)
}

func (l Logger) leveled(s Severity) log.Logger {
	switch s {
	case Warning:
		return level.Warn(l.base)
	case Failure:
		return level.Error(l.base)
	}
	return level.Info(l.base)
}
