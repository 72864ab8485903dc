package host

import (
	"fmt"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
)

// Failures that errors.Is finds. Beside them calls give replica's own: *replica.NotOwnerError
// from all that only an owner does, replica.ErrHandover from a proposal during a handover, and
// those that replica names at ChangeMembers and Handover.
var (
	// ErrGroupNotFound: the host doesn't run the group.
	ErrGroupNotFound = errors.New("the host doesn't run this group")
	// ErrGroupExists: the host runs the group already.
	ErrGroupExists = errors.New("the host runs this group already")
	// ErrStopped: the host's Run has ended.
	ErrStopped = errors.New("the host has stopped")
	// ErrOverloaded: too many proposals, or too many bytes of them, wait for their commit.
	ErrOverloaded = errors.New("too many proposals are pending")
	// ErrNoLease: the owner isn't settled yet, or too few members have answered it of late.
	ErrNoLease = errors.New("the owner holds no lease")
	// ErrIncompleteOptions: Options lack something.
	ErrIncompleteOptions = errors.New("the host's options are incomplete")
)

// UnknownOutcomeError tells that a proposal was taken, and that whether it comes into force was
// not to be seen: it may still.
type UnknownOutcomeError struct {
	Cause error // *replica.NotOwnerError, a context's error, ErrStopped, ErrNoGroup or a store's failure
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the proposal may or may not come into force: %v", e.Cause)
}

// Unwrap gives the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RestoreError tells that a machine refused a state. Of a state that came from the group's
// owner or the store, it ends Run: the node can't follow the group.
type RestoreError struct {
	Group replica.GroupID
	Cause error
}

// Error implements error.
func (e *RestoreError) Error() string {
	return fmt.Sprintf("group %s: restore the state: %v", e.Group, e.Cause)
}

// Unwrap gives the cause.
func (e *RestoreError) Unwrap() error { return e.Cause }
