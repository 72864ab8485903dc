package tierlab

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/wait"
)

// runScenario starts the tier, lets clients and an operator use it while faults are injected, and
// waits until all of them have ended.
func (l *lab) runScenario(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.balancer.Watch(ctx)
	if err := l.startTier(ctx); err != nil {
		return err
	}
	if err := l.useWithTroubles(ctx); err != nil {
		return err
	}
	if err := l.readBack(ctx); err != nil {
		return err
	}
	if err := l.useAfterTroubles(ctx); err != nil {
		return err
	}
	// Keep watching the servers: a rejected request must not run later either.
	<-time.After(lateRunWatch)
	return nil
}

// useWithTroubles lets all parties use the tier for the run's time while faults are injected.
func (l *lab) useWithTroubles(ctx context.Context) error {
	workCtx, stopWork := context.WithTimeout(ctx, time.Duration(l.opt.Seconds*float64(time.Second)))
	defer stopWork()
	go l.reportProgress(workCtx)
	var workers sync.WaitGroup
	for n := range l.opt.Agents {
		agent := tierfakes.NewAgent(l.client, n+1, l.opt.Seed)
		workers.Go(func() { agent.Run(workCtx) })
	}
	for _, application := range l.applications {
		workers.Go(func() { application.Run(workCtx) })
	}
	var failures [4]error
	workers.Go(func() { failures[0] = l.changeConfigurations(ctx, workCtx) })
	workers.Go(func() { failures[1] = l.injectFaults(ctx, workCtx) })
	workers.Go(func() { l.diskSync, failures[2] = probeDisk(workCtx, l.folder) })
	workers.Go(func() { failures[3] = l.orderEvacuations(ctx, workCtx) })
	workers.Wait()
	return errors.Join(failures[:]...)
}

// startTier starts all processes, sends the first configuration and waits until all edges accept
// clients.
func (l *lab) startTier(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, startTimeout, errors.New("not ready in time"))
	defer cancel()
	ctx, l.cancelStart = context.WithCancelCause(ctx)
	for _, m := range l.machines {
		if err := l.start(m, true); err != nil {
			return err
		}
	}
	if err := l.operator.ReplaceConfiguration(ctx, configuration(1)); err != nil {
		return errors.Wrap(errors.Join(context.Cause(ctx), err), "first configuration")
	}
	return waitUntil(ctx, "edges", func() bool { return l.balancer.ReadyCount() == l.opt.Edges })
}

// useAfterTroubles lets clients use the tier once more when all must be in force and merged, and
// applications read the tallies.
func (l *lab) useAfterTroubles(ctx context.Context) error {
	readyCtx, cancel := context.WithTimeoutCause(ctx, startTimeout, errors.New("not ready in time after the troubles"))
	defer cancel()
	if err := waitUntil(readyCtx, "edges", func() bool { return l.balancer.ReadyCount() == l.opt.Edges }); err != nil {
		return err
	}
	if !wait.For(ctx, max(contactBound, evacuateBound, mergeBound)) {
		return ctx.Err()
	}
	from := l.recorder.Now()
	workCtx, stopWork := context.WithTimeout(ctx, finalTraffic)
	defer stopWork()
	var workers sync.WaitGroup
	for n := range l.opt.Agents {
		agent := tierfakes.NewAgent(l.client, l.opt.Agents+n+1, l.opt.Seed)
		workers.Go(func() { agent.Run(workCtx) })
	}
	workers.Go(func() { l.readTallies(ctx) })
	workers.Wait()
	l.recorder.RecordFinalTraffic(from)
	return nil
}

// readBack reads and records the configuration in force at the end.
func (l *lab) readBack(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := l.operator.ReadBack(ctx); err != nil {
		return errors.Wrap(err, "read back")
	}
	return nil
}

// reportProgress calls Options.Progress periodically.
func (l *lab) reportProgress(ctx context.Context) {
	if l.opt.Progress == nil {
		return
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			ended, served := l.recorder.Counts()
			l.opt.Progress(l.recorder.Now(), ended, served, l.balancer.ReadyCount())
		case <-ctx.Done():
			return
		}
	}
}

// pause waits for a fraction of the run's length.
func (l *lab) pause(ctx context.Context, fraction float64) {
	t := time.NewTimer(time.Duration(fraction * l.opt.Seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
