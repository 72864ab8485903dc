package host

import (
	"fmt"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
)

// Errors that errors.Is finds. Calls also return errors of package replica: NotLeaderError
// from every operation that needs the leader, ErrTransferInProgress from a proposal during a
// leadership transfer, and the errors documented there for membership changes and leadership transfers.
var (
	// ErrGroupNotFound: the host does not run the group.
	ErrGroupNotFound = errors.New("the host does not run this group")
	// ErrGroupExists: the host already runs the group.
	ErrGroupExists = errors.New("the host already runs this group")
	// ErrStopped: the host's Run has ended.
	ErrStopped = errors.New("the host has stopped")
	// ErrOverloaded: too many proposals, or too many bytes of proposals, wait to be committed.
	ErrOverloaded = errors.New("too many proposals are pending")
	// ErrNoLease: the leader has not committed an entry of its term yet, or too few members
	// have answered it recently.
	ErrNoLease = errors.New("the leader holds no lease")
	// ErrIncompleteOptions: a required field of Options is not set.
	ErrIncompleteOptions = errors.New("the host's options are incomplete")
)

// UnknownOutcomeError reports that a proposal was accepted but its outcome is unknown. It may
// have been committed, and it may still be committed later.
type UnknownOutcomeError struct {
	Cause error // *replica.NotLeaderError, a context's error, ErrStopped, ErrGroupNotFound or a store error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the proposal is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RestoreError reports that a state machine rejected an encoded state. If the state came from
// the group's leader or the store, the error ends Run: the node cannot follow the group.
type RestoreError struct {
	Group replica.GroupID
	Cause error
}

// Error implements error.
func (e *RestoreError) Error() string {
	return fmt.Sprintf("group %s: restore the state: %v", e.Group, e.Cause)
}

// Unwrap returns the cause.
func (e *RestoreError) Unwrap() error { return e.Cause }
