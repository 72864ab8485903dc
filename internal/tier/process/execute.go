package process

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/jsonlog"
	"oakseam/internal/tier/routing"
)

// flushTimeout bounds the wait for the last lines of the log at the end of the process.
const flushTimeout = 200 * time.Millisecond

// Execute runs the command given by the arguments and returns the exit code. It reports an
// invalid command line, settings file or configuration with ExitUsage.
func Execute(parser *kong.Kong, args []string) int {
	defer jsonlog.Flush(flushTimeout)
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	err = command.Run()
	var configurationError *routing.InvalidError
	switch {
	case err == nil:
		return 0
	case isUnusableSettings(err), errors.As(err, &configurationError):
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	klog.ErrorS(err, "Command failed")
	fmt.Fprintln(os.Stderr, err)
	return ExitFailed
}
