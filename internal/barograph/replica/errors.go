package replica

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Failures that errors.Is finds.
var (
	// ErrNotSettled: the owner has not committed an entry of its term yet. Try again soon.
	ErrNotSettled = errors.New("owner is not settled yet")
	// ErrPending: a change of members is not committed yet.
	ErrPending = errors.New("a change of members is pending")
	// ErrNotCaughtUp: the member's log is too far behind the owner's, or it was not heard from of late.
	ErrNotCaughtUp = errors.New("member is not caught up")
	// ErrNotLearner: a node must follow as a learner before it becomes a voter.
	ErrNotLearner = errors.New("a voter to be added must be a learner")
	// ErrNotVoter: ownership goes to voters only.
	ErrNotVoter = errors.New("node is no voter")
	// ErrManyVoters: one change adds or removes one voter at most.
	ErrManyVoters = errors.New("more than one voter would change")
	// ErrMembers: the members have no voter, node 0 or a node twice.
	ErrMembers = errors.New("members are malformed")
	// ErrHandover: the ownership is being handed over, no proposals are taken meanwhile.
	ErrHandover = errors.New("ownership is being handed over")
	// ErrOverloaded: too many bytes wait for their commit.
	ErrOverloaded = errors.New("too much waits to be committed")
)

// NotOwnerError tells that a node is not the group's owner.
type NotOwnerError struct {
	Owner NodeID // who is, as far as is known; 0: not known
}

// Error names the owner if it is known.
func (e *NotOwnerError) Error() string {
	if e.Owner == 0 {
		return "node is not the owner, nor does it know one"
	}
	return fmt.Sprintf("node is not the owner, %d is", e.Owner)
}
