package upstream

import (
	"context"
	"errors"

	"oakseam/logic"
)

// Stage is how far an attempt got.
type Stage uint8

// The stages of an attempt, in order.
const (
	NotConnected  Stage = iota // no byte of the request was sent
	PartlyWritten              // the server may have a part of the request, and may have begun it
	FullyWritten               // the server may have the whole request
	ResponseBegun              // the head of the response was read
)

// stageNames are the names of the stages in error messages and, with hyphens, in counters.
var stageNames = [...]string{"not connected", "partly written", "written whole", "answer begun"}

// Error is the error that ended an attempt and the stage it had reached.
type Error struct {
	Stage Stage
	Err   error
}

// Error returns the stage and the cause.
func (e *Error) Error() string { return stageNames[e.Stage] + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// result returns the result of a failed attempt. A server may begin a request before it has the
// whole body, so only a request of which nothing was sent is known not to have run.
func (e *Error) result() logic.Result {
	switch {
	case errors.Is(e.Err, errWithdrawn), errors.Is(e.Err, errClientGone), errors.Is(e.Err, errDedupWindowOver):
		return logic.NotSent
	case errors.Is(e.Err, context.Canceled), errors.Is(e.Err, errClientBody):
		return logic.Canceled
	case e.Stage == NotConnected:
		return logic.ConnectFailed
	case errors.Is(e.Err, context.DeadlineExceeded):
		return logic.TimedOut
	}
	return logic.Reset
}
