package upstream

import (
	"context"
	"errors"

	"pipitmux/logic"
)

// Stage is how far an attempt has come.
type Stage uint8

// The stages of an attempt.
const (
	NotConnected Stage = iota
	PartlyWritten
	FullyWritten
	ResponseBegun
)

var stageNames = [...]string{"not connected", "partly written", "written whole", "answer begun"}

// Error is how an attempt broke and how far it had come.
type Error struct {
	Stage Stage
	Err   error
}

// Error gives the stage and the cause.
func (e *Error) Error() string { return stageNames[e.Stage] + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// result is what a broken attempt means. A server begins a request at its last
// byte: what broke before then never ran, what broke later may have.
func (e *Error) result() logic.Result {
	switch {
	case errors.Is(e.Err, errWithdrawn), errors.Is(e.Err, errLeft), errors.Is(e.Err, errWindow):
		return logic.NotSent
	case errors.Is(e.Err, context.Canceled), errors.Is(e.Err, errClient):
		return logic.Canceled
	case e.Stage < FullyWritten:
		return logic.ConnectFailed
	case errors.Is(e.Err, context.DeadlineExceeded):
		return logic.TimedOut
	}
	return logic.Reset
}
