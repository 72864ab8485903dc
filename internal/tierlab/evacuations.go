package tierlab

import (
	"context"

	"github.com/go-faster/errors"

	tierfakes "oakseam/internal/fakes/tier"
)

// evacuationStep is an order about a zone, and the fraction of the run before it.
type evacuationStep struct {
	after     float64
	zone      string
	evacuated bool
}

// evacuationSteps empty one zone and take it back when its servers have just become cold, and empty
// another one until the end of the run.
func evacuationSteps() []evacuationStep {
	return []evacuationStep{{0.2, zones[0], true}, {0.3, zones[0], false}, {0.15, zones[2], true}}
}

// orderEvacuations gives the operator's orders about zones. An order that has begun is completed.
func (l *lab) orderEvacuations(ctx, workCtx context.Context) error {
	if l.opt.Calm {
		return nil
	}
	for _, step := range evacuationSteps() {
		l.pause(workCtx, step.after)
		if !step.evacuated {
			l.makeZoneCold(step.zone)
		}
		if err := l.order(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// order gives one order. Without an acknowledgement in time, the operator gives it anew; a refused
// order is left to the auditor.
func (l *lab) order(ctx context.Context, step evacuationStep) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		orderCtx, cancelOrder := context.WithTimeout(ctx, acknowledgeBound)
		err := l.evacuator.Evacuate(orderCtx, step.zone, step.evacuated)
		cancelOrder()
		var rejected *tierfakes.RejectedError
		switch {
		case err == nil, errors.As(err, &rejected):
			return nil
		case ctx.Err() != nil:
			return err
		}
	}
}
