// Package cli is what the programs' command lines share: exit codes, version,
// progress on long work. It knows no command.
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

// UsageError marks an error as the caller's: of arguments, configuration or input.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return usageError{err}
}

type silentExit struct{ code int }

func (q silentExit) Error() string { return fmt.Sprintf("exit code %d", q.code) }

// ExitSilently ends a command with a code, all having been said.
func ExitSilently(code int) error { return silentExit{code} }

// Run executes the command that the arguments name, and returns its exit code.
// SIGINT and SIGTERM end its context; what it has started it ends itself.
func Run(root *cobra.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	root.SilenceErrors, root.SilenceUsage = true, true
	root.AddCommand(versionCommand(root.Name()))
	// What fails before a command has begun is a fault of its arguments.
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

// Version is the build's: the module's version or the commit, and the Go release.
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

// Progress writes a line now and then while long work goes on: none in its first
// seconds, then one every other second.
type Progress struct {
	out  io.Writer
	next time.Time
}

// NewProgress writes to w.
func NewProgress(w io.Writer) *Progress {
	return &Progress{out: w, next: time.Now().Add(2 * time.Second)}
}

// Printf writes a line if one is due.
func (p *Progress) Printf(format string, args ...any) {
	if now := time.Now(); now.After(p.next) {
		p.next = now.Add(2 * time.Second)
		fmt.Fprintf(p.out, format+"\n", args...)
	}
}
