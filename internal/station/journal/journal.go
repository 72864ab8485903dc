// Package journal sets up the log of a tier process: klog's calls become JSON
// lines, one a line, and lines that could come in floods are held back by key.
package journal

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// The keys that every line carries beside time, level and msg.
const (
	// NodeKey names the node that wrote the line.
	NodeKey = "node"
	// RoleKey names the role that the node has in the tier.
	RoleKey = "role"
)

// Start makes klog write JSON lines to w from a level on. Each line has the
// fields time, level, msg, node and role, then its own key-values; an error
// given to klog.ErrorS stands under err. A level below slog.LevelInfo also
// lets klog.V lines through, to the verbosity -level. Each line is one Write.
//
// Start isn't safe beside logging calls: a process calls it first.
func Start(w io.Writer, node, role string, level slog.Level) {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	logger := slog.New(handler).With(NodeKey, node, RoleKey, role)
	klog.StopFlushDaemon()
	setVerbosity(level)
	klog.SetSlogLogger(logger)
}

// setVerbosity gives klog the verbosity that a level stands for, through a
// flag set of its own, so that the program's flags aren't touched.
func setVerbosity(level slog.Level) {
	verbosity := max(0, -int(level))
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		panic(err) // klog always has the flag, and takes any number
	}
}
