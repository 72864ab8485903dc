// Package operators is the HTTP API through which operators replace and show the
// configuration and retire nodes. It reads calls, holds them to bounds, refuses what
// cannot be right, and puts the rest to an Authority.
//
//	POST /api/Configuration.Replace    200 taken, 400 invalid, 412 conflict, 413, 503
//	GET  /api/Configuration.Show       200 with the bytes as they were sent, 404 none yet, 503
//	POST /api/Retire.Begin/{node}      200 accepted, 400, 404 unknown node, 409 too few nodes, 413, 503
//	GET  /api/Retire.Show/{node}       200, 404 unknown node, 503
//
// Status 503 says that the outcome is not known or that nobody can decide now: the same
// call may be made again. Another refusal is final.
package operators

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Failures that an Authority's Show and RetireShow give. Any other counts as ErrUnavailable.
var (
	ErrNoConfiguration = errors.New("no configuration yet")
	ErrUnknownNode     = errors.New("unknown node")
	ErrUnavailable     = errors.New("cannot be decided now")
)

// Authority decides what operators ask for. Its methods are called by many goroutines
// at once, and return soon after the context has ended.
type Authority interface {
	// Replace makes a body, which routing.Parse has read without error, the newest
	// configuration, if the newest one's revision is base (0: there is none).
	Replace(ctx context.Context, base uint64, body []byte) ReplaceOutcome
	// Show returns the newest configuration byte for byte as it was sent, or ErrNone or
	// ErrUnavailable. The bytes are not changed by either side.
	Show(ctx context.Context) ([]byte, error)
	// RetireBegin has a node give up its work within the deadline.
	RetireBegin(ctx context.Context, node string, deadline time.Duration) RetireOutcome
	// RetireShow tells how far a node's retirement is, or ErrUnknownNode or ErrUnavailable.
	RetireShow(ctx context.Context, node string) (RetireState, error)
}

// ReplaceResult says what became of a call to Replace.
type ReplaceResult uint8

// The results of Replace. The zero value is the one that promises nothing.
const (
	ReplaceUncertain ReplaceResult = iota // the outcome is not known, or nobody can decide now
	ReplaceAccepted                       // it is durable, and the newest
	ReplaceConflict                       // another revision than base is the newest
	ReplaceInvalid                        // it can never be taken
)

// String names the result.
func (r ReplaceResult) String() string {
	return nameOf([]string{"uncertain", "taken", "conflict", "invalid"}, int(r))
}

// ReplaceOutcome is a result with its reason in words, which may be empty.
type ReplaceOutcome struct {
	Result ReplaceResult
	Reason string
}

// RetireOutcome says what became of a call to RetireBegin.
type RetireOutcome uint8

// The outcomes of RetireBegin. The zero value is the one that promises nothing.
const (
	RetireUncertain   RetireOutcome = iota // the outcome is not known, or nobody can decide now
	RetireAccepted                         // the retirement is durable and has begun, or had begun before
	RetireUnknownNode                      // there is no such node
	RetireTooFew                           // too few nodes would be left
)

// String names the outcome.
func (o RetireOutcome) String() string {
	return nameOf([]string{"uncertain", "accepted", "unknown node", "too few"}, int(o))
}

// nameOf gives a value's name, or the first one's for a value that has none: it is
// treated alike.
func nameOf(names []string, value int) string {
	if value >= len(names) {
		return names[0]
	}
	return names[value]
}

// RetireState says how far a retirement is.
type RetireState uint8

// The states of a retirement.
const (
	RetireInProgress RetireState = iota + 1 // the node still has work
	RetireCompleted                         // it has none, and may be switched off
)
