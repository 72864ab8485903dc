package storage

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/protocol"
)

// Only a result from the partition's log is final. What may have been applied must never count
// as not applied.
func TestResultsMapToOutcomes(t *testing.T) {
	for _, c := range []struct {
		result turns.Result
		err    error
		want   protocol.TurnOutcome
		leader replica.NodeID
	}{
		{turns.Accepted, nil, protocol.TurnGranted, 0},
		{turns.BudgetExhausted, nil, protocol.TurnBudgetExhausted, 0},
		{turns.UnknownTurn, nil, protocol.TurnNotFound, 0},
		{turns.AttemptClosed, nil, protocol.TurnClosed, 0},
		{0, &turns.ResultError{}, protocol.TurnUnavailable, 0},
		{0, &replica.NotLeaderError{Leader: 5}, protocol.TurnNotOwner, 5},
		{0, &host.UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: 5}}, protocol.TurnUnknown, 5},
		{0, errors.Wrap(&host.UnknownOutcomeError{Cause: context.DeadlineExceeded}, "propose"), protocol.TurnUnknown, 0},
		{0, host.ErrGroupNotFound, protocol.TurnUnavailable, 0},
		{0, host.ErrOverloaded, protocol.TurnUnavailable, 0},
	} {
		outcome, leader := outcomeOf(c.result, c.err)
		assert.Equal(t, outcome, c.want, "%v", c.err)
		assert.Equal(t, leader, c.leader, "%v", c.err)
	}
}
