package replica

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors that callers match with errors.Is.
var (
	// ErrLeaderNotReady means that the leader has not committed an entry of its term yet. Retry soon.
	ErrLeaderNotReady = errors.New("leader has not committed an entry of its term yet")
	// ErrChangePending means that a membership change is not committed yet.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrNotCaughtUp means that the member's log is too far behind the leader's, or that the member was
	// not heard from recently.
	ErrNotCaughtUp = errors.New("member is not caught up")
	// ErrNotLearner means that a node must be a learner before it becomes a voter.
	ErrNotLearner = errors.New("a voter to be added must be a learner")
	// ErrNotVoter means that leadership can be transferred to voters only.
	ErrNotVoter = errors.New("node is not a voter")
	// ErrMultipleVoterChanges means that a change would add or remove more than one voter.
	ErrMultipleVoterChanges = errors.New("more than one voter would change")
	// ErrInvalidMembers means that the members have no voter, contain node 0 or contain a node twice.
	ErrInvalidMembers = errors.New("members are malformed")
	// ErrTransferInProgress means that the leadership is being transferred and no proposals are accepted.
	ErrTransferInProgress = errors.New("leadership transfer is in progress")
	// ErrOverloaded means that too many bytes wait to be committed.
	ErrOverloaded = errors.New("too many uncommitted bytes")
)

// NotLeaderError means that a node is not the group's leader.
type NotLeaderError struct {
	Leader NodeID // the leader as far as this node knows; 0: unknown
}

// Error names the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "node is not the leader, and the leader is unknown"
	}
	return fmt.Sprintf("node is not the leader, node %d is", e.Leader)
}
