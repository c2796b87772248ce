// Package event defines the catalogue of numbered log events, and logs them with log/slog.
//
// Each event has a code whose meaning never changes, a level, a title that is the message of the log line,
// and a description that tells operators what the event means. docs/EVENTS.md is generated from the
// catalogue.
//
// # Usage
//
//	logger := event.New(slog.New(handler))
//	logger.Log(ctx, event.TaskPlaced, slog.String("task", id))
//
// The log line has the code as its attribute "event".
package event

import (
	"context"
	"io"
	"log/slog"

	"github.com/pkg/errors"
)

// Logger logs events of the catalogue.
type Logger struct {
	out     *slog.Logger
	entries map[Code]Entry
}

// New returns a Logger that logs to out.
func New(out *slog.Logger) *Logger {
	entries := make(map[Code]Entry, len(catalogue))
	for _, entry := range catalogue {
		entries[entry.Code] = entry
	}
	return &Logger{out: out, entries: entries}
}

// Discard returns a Logger that logs nothing.
func Discard() *Logger {
	return New(slog.New(slog.DiscardHandler))
}

// Open returns a Logger that writes to out. The format is json or text, and the level is debug, info, warn or
// error.
func Open(out io.Writer, format, level string) (*Logger, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Errorf("log level %q is not one of debug, info, warn, error", level)
	}
	options := &slog.HandlerOptions{Level: threshold}
	switch format {
	case "json":
		return New(slog.New(slog.NewJSONHandler(out, options))), nil
	case "text":
		return New(slog.New(slog.NewTextHandler(out, options))), nil
	}
	return nil, errors.Errorf("log format %q is not one of json, text", format)
}

// With returns a Logger that adds the attributes to each line.
func (l *Logger) With(attributes ...any) *Logger {
	return &Logger{out: l.out.With(attributes...), entries: l.entries}
}

// Enabled reports whether events with this code are logged. Frequently executed code can check it before it
// builds the attributes.
func (l *Logger) Enabled(ctx context.Context, code Code) bool {
	return l.out.Enabled(ctx, l.entries[code].Level)
}

// Log logs an event with the given attributes.
func (l *Logger) Log(ctx context.Context, code Code, attributes ...slog.Attr) {
	entry := l.entries[code]
	if !l.out.Enabled(ctx, entry.Level) {
		return
	}
	// Performance: the code and the attributes share one slice, to allocate only once.
	attrs := make([]slog.Attr, 0, len(attributes)+1)
	attrs = append(attrs, slog.Int("event", int(code)))
	attrs = append(attrs, attributes...)
	l.out.LogAttrs(ctx, entry.Level, entry.Title, attrs...)
}
