// Package adminapi is the HTTP API through which operators replace and show the
// configuration, retire nodes and evacuate zones. It reads and bounds calls, rejects invalid ones, and passes
// the rest to an Authority.
//
//	POST /api/Configuration.Replace    200 accepted, 400 invalid, 412 conflict, 413, 503
//	GET  /api/Configuration.Show       200 with the bytes as they were sent, 404 none yet, 503
//	POST /api/Retire.Begin/{node}      200 accepted, 400, 404 unknown node, 409 too few nodes, 413, 503
//	GET  /api/Retire.Show/{node}       200, 404 unknown node, 503
//	POST /api/Evacuate.Begin/{zone}    200 accepted, 404 unknown zone, 413, 503
//	POST /api/Evacuate.Finish/{zone}   200 accepted, 404 unknown zone, 413, 503
//	POST /api/Tallies.Modify/{tally}   200 counted, 400, 409 counted with another amount, 413, 500, 503, 504
//	GET  /api/Tallies.Show/{tally}     200, 400, 503
//
// Status 503 means that the outcome is unknown or that the call cannot be decided now: the
// same call may be repeated. Any other error is final. The calls for tallies differ: there, 503 means
// that nothing was done, and 500 and 504 that the add may be or become counted.
package adminapi

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by Show and RetireShow of an Authority. Any other counts as ErrUnavailable.
var (
	ErrNoConfiguration = errors.New("no configuration yet")
	ErrUnknownNode     = errors.New("unknown node")
	ErrUnavailable     = errors.New("cannot be decided now")
)

// Authority decides the operators' calls. Its methods are called concurrently and return soon
// after the context has ended.
type Authority interface {
	// Replace makes body, which routing.Parse has accepted, the newest configuration if the
	// newest revision is base (0 if there is none).
	Replace(ctx context.Context, base uint64, body []byte) ReplaceOutcome
	// Show returns the newest configuration byte for byte as it was sent, or ErrNoConfiguration
	// or ErrUnavailable. Neither side modifies the bytes.
	Show(ctx context.Context) ([]byte, error)
	// RetireBegin starts emptying a node, with a deadline.
	RetireBegin(ctx context.Context, node string, deadline time.Duration) RetireOutcome
	// RetireShow returns the state of a node's retirement, or ErrUnknownNode or ErrUnavailable.
	RetireShow(ctx context.Context, node string) (RetireState, error)
	// Evacuate makes a zone's state as ordered. The context also ends when the caller is gone; an order
	// that was not proposed by then must never take effect.
	Evacuate(ctx context.Context, order EvacuationOrder) EvacuateOutcome
}

// ReplaceResult is the result of a call to Replace.
type ReplaceResult uint8

// The results of Replace. The zero value promises nothing.
const (
	ReplaceUncertain ReplaceResult = iota // the outcome is unknown, or the call cannot be decided now
	ReplaceAccepted                       // it is durable and was made the newest
	ReplaceConflict                       // another revision than base is the newest
	ReplaceInvalid                        // it can never be accepted
)

// String returns the name of the result as it appears in logs.
func (r ReplaceResult) String() string {
	return nameOf([]string{"uncertain", "taken", "conflict", "invalid"}, int(r))
}

// ReplaceOutcome is a result and its reason, which may be empty.
type ReplaceOutcome struct {
	Result ReplaceResult
	Reason string
}

// RetireOutcome is the result of a call to RetireBegin.
type RetireOutcome uint8

// The outcomes of RetireBegin. The zero value promises nothing.
const (
	RetireUncertain   RetireOutcome = iota // the outcome is unknown, or the call cannot be decided now
	RetireAccepted                         // the retirement is durable and has begun, or had begun before
	RetireUnknownNode                      // there is no such node
	RetireTooFew                           // too few nodes would remain
)

// String returns the name of the outcome as it appears in logs.
func (o RetireOutcome) String() string {
	return nameOf([]string{"uncertain", "accepted", "unknown node", "too few"}, int(o))
}

// nameOf returns the name of a value, or the first name for an unknown value, which is treated
// like the zero value.
func nameOf(names []string, value int) string {
	if value >= len(names) {
		return names[0]
	}
	return names[value]
}

// RetireState is the progress of a retirement.
type RetireState uint8

// The states of a retirement.
const (
	RetireInProgress RetireState = iota + 1 // the node still holds partitions
	RetireCompleted                         // the node holds none and may be switched off
)
