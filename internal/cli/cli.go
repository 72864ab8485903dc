// Package cli holds what the programs' command lines share: exit codes, version, and progress
// output. It must not know any command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

type usageError struct{ error }

func (m usageError) Unwrap() error { return m.error }

// UsageError marks an error as caused by the arguments, the configuration or the input.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

type silentExit struct{ code int }

func (q silentExit) Error() string { return fmt.Sprintf("exit code %d", q.code) }

// ExitSilently returns an error that ends the program with a code and without a message.
func ExitSilently(code int) error { return silentExit{code} }

// Run executes the command that the arguments name, and returns its exit code. SIGINT and
// SIGTERM cancel the context; commands stop what they have started.
func Run(root *cobra.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	root.SilenceErrors, root.SilenceUsage = true, true
	root.AddCommand(versionCommand(root.Name()))
	// An error before the command has started is an error of its arguments.
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	var q silentExit
	if errors.As(err, &q) {
		return q.code
	}
	fmt.Fprintf(root.ErrOrStderr(), "%s: %v\n", root.Name(), err)
	var m usageError
	if errors.As(err, &m) || !started {
		return ExitUsage
	}
	return ExitFailure
}

func versionCommand(name string) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version and the Go that built it", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), name, Version()) }}
}

// Version returns the module's version or the commit, and the Go release of the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v = s.Value[:min(12, len(s.Value))]
		}
	}
	if v == "" {
		v = "(devel)"
	}
	return v + " " + info.GoVersion
}

// Progress prints at most one line every two seconds during long work, and none in the first two.
type Progress struct {
	out  io.Writer
	next time.Time
}

// NewProgress returns a Progress that writes to w.
func NewProgress(w io.Writer) *Progress {
	return &Progress{out: w, next: time.Now().Add(2 * time.Second)}
}

// Printf prints a line if one is due.
func (p *Progress) Printf(format string, args ...any) {
	if now := time.Now(); now.After(p.next) {
		p.next = now.Add(2 * time.Second)
		fmt.Fprintf(p.out, format+"\n", args...)
	}
}
