package link

import (
	"fmt"

	"github.com/go-faster/errors"
)

// A failed Call is a *RemoteError (carried out, and answered with an error), an
// *UncertainError (it may have been carried out) or any other error: then it
// surely wasn't and won't be.
var (
	// ErrUnreachable is found in the error of a call that was never written.
	ErrUnreachable = errors.New("link: unreachable")
	// ErrBackoff is why a call fails without a dial soon after a failed one.
	ErrBackoff = errors.New("link: waiting after a failed dial")
	// ErrForgotten is why calls fail on a connection that Forget or Close closed.
	ErrForgotten = errors.New("link: address forgotten")
	// ErrTooLarge is a message over the bound on its bytes.
	ErrTooLarge = errors.New("link: message too large")
	// ErrOverloaded is a message that there is no room for now.
	ErrOverloaded = errors.New("link: too many bytes under way")
	// ErrMalformed is a message that isn't of the form of a frame.
	ErrMalformed = errors.New("link: malformed message")
	// ErrServerClosed is what Serve returns after Close.
	ErrServerClosed = errors.New("link: server closed")
	// ErrReplyType is a reply that isn't a pointer to write to.
	ErrReplyType = errors.New("link: reply is not a pointer")

	// errNoBody is a message without the body that its reader wants.
	errNoBody = errors.New("link: no body")
	// errRetired is why a connection closes that was replaced.
	errRetired = errors.New("link: connection replaced")
)

// UnreachableError is a call that was never written. ErrUnreachable and the
// cause are found in it by errors.Is.
type UnreachableError struct {
	Address string
	Cause   error

	// broke tells that the connection had been good until now, so that a new
	// one may be tried at once.
	broke bool
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrUnreachable, e.Address, e.Cause)
}

// Unwrap returns ErrUnreachable and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, e.Cause} }

// UncertainError is a call that was written, at least in part, and whose answer
// didn't come: it may have been carried out, or may still be.
type UncertainError struct {
	Address string
	Method  string
	Cause   error // the context's error, or why the connection broke
}

// Error names the call and the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("link: no answer from %s to %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// RemoteError is the error that a service answered with.
type RemoteError struct {
	Address string
	Method  string
	Text    string // the text of the service's error
}

// Error returns the service's text after the call's name.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("link: %s at %s: %s", e.Method, e.Address, e.Text)
}
