// Package jsonlog sets up the log of a tier process. It writes klog's records as
// JSON, one per line, and limits the rate of repeated log lines by key.
package jsonlog

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Keys in every line besides time, level and msg.
const (
	// NodeKey is the key of the node that wrote the line.
	NodeKey = "node"
	// RoleKey is the key of the node's role in the tier.
	RoleKey = "role"
)

// Start makes klog write JSON lines of at least the given level to w. Each line
// has the fields time, level, msg, node and role, followed by its own key-values;
// an error passed to klog.ErrorS has the key err. A level below slog.LevelInfo
// also enables klog.V lines up to verbosity -level. Each line is one Write.
//
// Start is not safe for use concurrently with logging; a process calls it first.
func Start(w io.Writer, node, role string, level slog.Level) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	logger := slog.New(handler).With(NodeKey, node, RoleKey, role)
	klog.StopFlushDaemon()
	setVerbosity(level)
	klog.SetSlogLogger(logger)
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
