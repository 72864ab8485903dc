package process

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/station/routing"
	"pipitmux/internal/station/settings"
)

// Execute runs the command that the arguments name and returns the exit code.
func Execute(parser *kong.Kong, args []string) int {
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	err = command.Run()
	var field *settings.FieldError
	var invalid *routing.InvalidError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &field), errors.As(err, &invalid), errors.Is(err, ErrNoSettings):
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	klog.ErrorS(err, "Ends")
	fmt.Fprintln(os.Stderr, err)
	return ExitFailed
}
