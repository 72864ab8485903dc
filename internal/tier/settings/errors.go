package settings

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors that concern the whole file, matched with errors.Is.
var (
	// ErrTooLarge means that the file is larger than MaxFileBytes, or has too long
	// lines or too many braces.
	ErrTooLarge = errors.New("settings file too large")
	// ErrSyntax means that the file is not valid TOML.
	ErrSyntax = errors.New("settings file is not TOML")
)

// FieldError describes an invalid key of a settings file.
type FieldError struct {
	File   string // path as given to Read or Parse
	Key    string // dotted key such as limits.cpuShare; empty for the whole file
	Reason string

	cause error // a sentinel of this package, or nil
}

// Error returns the file, the key and the reason.
func (e *FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}

// Unwrap returns the sentinel error, if any.
func (e *FieldError) Unwrap() error { return e.cause }
