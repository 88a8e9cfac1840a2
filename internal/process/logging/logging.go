// Package logging builds the daemon's loggers: slog on one stream, with a
// fixed prefix for each part of the system.
package logging

import (
	"io"
	"log/slog"
)

// New returns the root logger. Format is "text" or "json"; level is the name
// of a slog level.
func New(out io.Writer, format, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: l}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// For returns the logger of one part of the system.
func For(root *slog.Logger, component string) *slog.Logger {
	return root.With("part", component)
}
