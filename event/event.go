// Package event holds the catalogue of numbered log events and writes them
// with log/slog.
//
// Each event has a code that never changes its meaning, a level, a title that
// is the log line's message, and a text that says what it tells an operator.
// docs/EVENTS.md is generated from the same catalogue.
//
// # Usage
//
//	logger := event.New(slog.New(handler))
//	logger.Log(ctx, event.TaskPlaced, slog.String("task", id))
//
// The line carries the code as the attribute "event".
package event

import (
	"context"
	"io"
	"log/slog"

	"github.com/pkg/errors"
)

// Logger writes events of the catalogue.
type Logger struct {
	out     *slog.Logger
	entries map[Code]Entry
}

// New returns a Logger that writes to out.
func New(out *slog.Logger) *Logger {
	entries := make(map[Code]Entry, len(catalogue))
	for _, entry := range catalogue {
		entries[entry.Code] = entry
	}
	return &Logger{out: out, entries: entries}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return New(slog.New(slog.DiscardHandler))
}

// Open returns a Logger with the named format (json or text) and level (debug,
// info, warn or error).
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

// With returns a Logger that adds attributes to each line.
func (logger *Logger) With(attributes ...any) *Logger {
	return &Logger{out: logger.out.With(attributes...), entries: logger.entries}
}

// Enabled reports whether an event of this code would be written, so that a
// hot path can skip building its attributes.
func (logger *Logger) Enabled(ctx context.Context, code Code) bool {
	return logger.out.Enabled(ctx, logger.entries[code].Level)
}

// Log writes one event.
func (logger *Logger) Log(ctx context.Context, code Code, attributes ...slog.Attr) {
	entry := logger.entries[code]
	if !logger.out.Enabled(ctx, entry.Level) {
		return
	}
	// Performance: one slice for the code and the caller's attributes.
	all := make([]slog.Attr, 0, len(attributes)+1)
	all = append(all, slog.Int("event", int(code)))
	all = append(all, attributes...)
	logger.out.LogAttrs(ctx, entry.Level, entry.Title, all...)
}
