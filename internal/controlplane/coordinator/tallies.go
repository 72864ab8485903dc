package coordinator

import (
	"context"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/tallysync"
)

// TalliesAPI presents the tallies of this node to the HTTP API.
type TalliesAPI struct{ Node *tallysync.Node }

var _ adminapi.Tallies = TalliesAPI{}

// Add implements adminapi.Tallies.
func (t TalliesAPI) Add(ctx context.Context, tally, member string, amount int64) error {
	return tallyError(t.Node.Add(ctx, tally, member, amount))
}

// Total implements adminapi.Tallies.
func (t TalliesAPI) Total(tally string) (int64, error) {
	total, err := t.Node.Total(tally)
	return total, tallyError(err)
}

// tallyError translates an error of package tallysync.
func tallyError(err error) error {
	switch {
	case errors.Is(err, tallysync.ErrNotReady):
		return errors.Wrap(adminapi.ErrUnavailable, err.Error())
	case errors.Is(err, tallysync.ErrConflict):
		return adminapi.ErrTallyConflict
	case errors.Is(err, tallysync.ErrTooLarge):
		return adminapi.ErrTallyTooLarge
	case errors.Is(err, tallysync.ErrUncertain):
		return adminapi.ErrTallyUncertain
	}
	return err
}

// serveTallies runs the tallies until ctx ends. If their disk fails, it ends the node by cancel.
func (c *Coordinator) serveTallies(ctx context.Context, cancel context.CancelCauseFunc) {
	if err := c.tallies.Run(ctx); err != nil {
		cancel(errors.Wrap(err, "tallies"))
	}
}
