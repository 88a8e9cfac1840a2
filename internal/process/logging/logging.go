// Package logging builds the loggers of a process: slog loggers that write to one
// stream, with an attribute that names the component. Packages daemon and platform
// create the root logger. The package decides neither what is logged nor at which level.
package logging

import (
	"io"
	"log/slog"
)

// New returns the root logger. Format "json" selects JSON, any other format text. Level
// is the name of a slog level; an unknown name selects info.
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

// For returns the logger of one component of the system.
func For(root *slog.Logger, component string) *slog.Logger {
	return root.With("part", component)
}

// maxClipped is the length of a text of another writer in a log line, bytes. The lines that
// wait to be written take memory.
const maxClipped = 256

// Clip returns a text of another writer for a log line: its beginning if it is long.
func Clip(text string) string {
	if len(text) <= maxClipped {
		return text
	}
	return text[:maxClipped] + "..."
}
