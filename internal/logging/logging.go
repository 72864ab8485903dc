// Package logging creates the programs' loggers and defines the keys that log lines share. It
// must not know what is logged.
package logging

import (
	"io"
	"log/slog"
)

// The shared keys. Every line about a request, backend or attempt uses them, so that all lines
// about one can be found.
const (
	Request = "req"     // id of a request
	Backend = "backend" // id of a backend
	Attempt = "attempt" // number of a request's attempt, from 0
	Cause   = "cause"   // reason, as an error or a word
)

// Formats and Levels are the values allowed in a configuration.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// New returns a logger with a level and a format of Levels and Formats. Other values mean info
// and text.
func New(w io.Writer, level, format string) *slog.Logger {
	opt := &slog.HandlerOptions{Level: levels[level]}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}
