package keeper

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/protocol"
)

// Only what the partition's log has said is final; nothing that may have been done counts as
// not done.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		result turns.Result
		err    error
		want   protocol.TurnOutcome
		owner  replica.NodeID
	}{
		{turns.Granted, nil, protocol.TurnGranted, 0},
		{turns.Spent, nil, protocol.TurnBudgetExhausted, 0},
		{turns.Missing, nil, protocol.TurnNotFound, 0},
		{turns.Closed, nil, protocol.TurnClosed, 0},
		{0, &turns.ResultError{}, protocol.TurnUnavailable, 0},
		{0, &replica.NotLeaderError{Leader: 5}, protocol.TurnNotOwner, 5},
		{0, &host.UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: 5}}, protocol.TurnUnknown, 5},
		{0, errors.Wrap(&host.UnknownOutcomeError{Cause: context.DeadlineExceeded}, "propose"), protocol.TurnUnknown, 0},
		{0, host.ErrGroupNotFound, protocol.TurnUnavailable, 0},
		{0, host.ErrOverloaded, protocol.TurnUnavailable, 0},
	} {
		outcome, owner := outcomeOf(c.result, c.err)
		assert.Equal(t, outcome, c.want, "%v", c.err)
		assert.Equal(t, owner, c.owner, "%v", c.err)
	}
}
