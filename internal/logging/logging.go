// Package logging makes the programs' loggers, and names the keys that their
// lines share. It knows nothing of what is logged.
package logging

import (
	"io"
	"log/slog"
)

// The keys. A line about a request, a backend or an attempt names it by these, so
// that all lines about one can be found.
const (
	Request = "req"     // the id of a request
	Backend = "backend" // the id of a backend
	Attempt = "attempt" // the number of an attempt of a request, from 0
	Cause   = "cause"   // why, as an error or a word
)

// Formats and Levels are what a configuration may name.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// New returns a logger of a level and a format, which must be of Levels and
// Formats; any other word stands for info and text.
func New(w io.Writer, level, format string) *slog.Logger {
	opt := &slog.HandlerOptions{Level: levels[level]}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}
