package rpc

import (
	"fmt"

	"github.com/go-faster/errors"
)

// A failed Call returns a *RemoteError (the call was executed and returned an
// error), an *UncertainError (it may have been executed) or any other error: the
// call was not executed and will not be.
var (
	// ErrUnreachable means that the call was never written.
	ErrUnreachable = errors.New("rpc: unreachable")
	// ErrBackoff means that no dial was tried because another one failed
	// recently.
	ErrBackoff = errors.New("rpc: waiting after a failed dial")
	// ErrForgotten means that Forget or Close closed the connection.
	ErrForgotten = errors.New("rpc: address forgotten")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("rpc: message too large")
	// ErrOverloaded means that the byte limit of all pending messages is
	// reached.
	ErrOverloaded = errors.New("rpc: too many bytes in flight")
	// ErrMalformed means that a message is not a valid frame.
	ErrMalformed = errors.New("rpc: malformed message")
	// ErrServerClosed is returned by Serve after Close.
	ErrServerClosed = errors.New("rpc: server closed")
	// ErrReplyType means that the reply argument is not a non-nil pointer.
	ErrReplyType = errors.New("rpc: reply is not a pointer")

	// errNoBody means that a message lacks the expected body.
	errNoBody = errors.New("rpc: no body")
	// errRetired is the cause when a replaced connection closes.
	errRetired = errors.New("rpc: connection replaced")
)

// UnreachableError reports a call that was never written. It matches
// ErrUnreachable and its cause with errors.Is.
type UnreachableError struct {
	Address string
	Cause   error

	// connectionLost means that an established connection failed, so a new one
	// may be tried at once.
	connectionLost bool
}

// Error returns a message with the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrUnreachable, e.Address, e.Cause)
}

// Unwrap returns ErrUnreachable and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, e.Cause} }

// UncertainError reports a call that was written but not answered. The call may
// have been executed, or may still be.
type UncertainError struct {
	Address string
	Method  string
	Cause   error // the context's error, or why the connection broke
}

// Error returns a message with the address, the method and the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("rpc: no answer from %s to %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// RemoteError is an error returned by the called service.
type RemoteError struct {
	Address string
	Method  string
	Text    string // the text of the service's error
}

// Error returns the service's error text, preceded by method and address.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("rpc: %s at %s: %s", e.Method, e.Address, e.Text)
}
