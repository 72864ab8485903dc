package settings

import (
	"fmt"

	"github.com/go-faster/errors"
)

// The reasons that hold for a whole file, found by errors.Is.
var (
	// ErrTooLarge is a file of over MaxFileBytes.
	ErrTooLarge = errors.New("settings file too large")
	// ErrSyntax is a file that isn't TOML.
	ErrSyntax = errors.New("settings file is not TOML")
)

// FieldError says what is wrong with one key of a settings file.
type FieldError struct {
	File   string // the path as it was given
	Key    string // dotted, as in limits.cpuShare; empty for the whole file
	Reason string

	cause error // a sentinel of this package, or nil
}

// Error names the file, the key and the reason.
func (e *FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}

// Unwrap returns the sentinel that the failure is found by, if any.
func (e *FieldError) Unwrap() error { return e.cause }
