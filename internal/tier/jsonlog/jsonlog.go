// Package jsonlog sets up the log of a tier process. It writes klog's records as
// JSON, one per line, and limits the rate of repeated log lines by key.
package jsonlog

import (
	"bytes"
	"flag"
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Keys in every line besides time, level and msg.
const (
	// NodeKey is the key of the node that wrote the line.
	NodeKey = "node"
	// RoleKey is the key of the node's role in the tier.
	RoleKey = "role"
)

// current is the writer of the log that Start began last.
var current atomic.Pointer[queuedWriter]

// Start makes klog write JSON lines of at least the given level to w. Each line
// has the fields time, level, msg, node and role, followed by its own key-values;
// an error passed to klog.ErrorS has the key err. A level below slog.LevelInfo
// also enables klog.V lines up to verbosity -level. Each line is one Write. Lines
// are written in the background, in order: a log that isn't read loses lines and
// holds nothing up. Flush waits for them.
//
// Start is not safe for use concurrently with logging; a process calls it first.
func Start(w io.Writer, node, role string, level slog.Level) {
	lost := func(count int) []byte { return lostLine(count, node, role) }
	writer := newQueuedWriter(w, lost)
	current.Store(writer)
	klog.StopFlushDaemon()
	setVerbosity(level)
	klog.SetSlogLogger(newLogger(writer, node, role, level))
}

// newLogger returns a logger that writes the lines of a node.
func newLogger(w io.Writer, node, role string, level slog.Level) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With(NodeKey, node, RoleKey, role)
}

// lostLine returns the line that tells how many lines were lost.
func lostLine(count int, node, role string) []byte {
	var line bytes.Buffer
	newLogger(&line, node, role, slog.LevelWarn).Warn("Lines of the log were lost: its reader was too slow or gone", "count", count)
	return line.Bytes()
}

// Flush waits until the lines logged so far are written, at most for the given time.
func Flush(timeout time.Duration) {
	if writer := current.Load(); writer != nil {
		writer.flush(timeout)
	}
}

// setVerbosity sets klog's verbosity according to a level. It uses a separate
// flag set, so that the program's flags are not changed.
func setVerbosity(level slog.Level) {
	verbosity := max(0, -int(level))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		panic(err) // klog always has the flag and accepts any number
	}
}
