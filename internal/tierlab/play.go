package tierlab

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	play "pipitmux/internal/standin/tier"
)

// play starts the tier, has clients and an operator use it while troubles come, and waits
// for the end of all.
func (l *lab) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.edges.Watch(ctx)
	if err := l.begin(ctx); err != nil {
		return err
	}
	day, endOfDay := context.WithTimeout(ctx, time.Duration(l.opt.Seconds*float64(time.Second)))
	defer endOfDay()
	go l.tell(day)
	var parties sync.WaitGroup
	for n := range l.opt.Agents {
		agent := play.NewAgent(l.clients, n+1, l.opt.Seed)
		parties.Go(func() { agent.Run(day) })
	}
	var failures [3]error
	parties.Go(func() { failures[0] = l.changeConfigurations(ctx, day) })
	parties.Go(func() { failures[1] = l.troubles(ctx, day) })
	parties.Go(func() { l.disk, failures[2] = probeDisk(day, l.folder) })
	parties.Wait()
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	if err := l.readBack(ctx); err != nil {
		return err
	}
	// What was refused must not run later either.
	<-time.After(lateAfter)
	return nil
}

// begin starts all processes, orders the first configuration and waits until all edges
// take clients.
func (l *lab) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, startWithin, errors.New("not ready in time"))
	defer cancel()
	ctx, l.stop = context.WithCancelCause(ctx)
	for _, m := range l.machines {
		if err := l.start(m, true); err != nil {
			return err
		}
	}
	if err := l.operator.Order(ctx, configuration(1)); err != nil {
		return errors.Wrap(errors.Join(context.Cause(ctx), err), "the first configuration")
	}
	return await(ctx, "edges", func() bool { return l.edges.Ready() == l.opt.Edges })
}

// readBack reads the configuration in force at the end.
func (l *lab) readBack(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	if err := l.operator.ReadBack(ctx); err != nil {
		return errors.Wrap(err, "read back")
	}
	return nil
}

// tell tells the progress.
func (l *lab) tell(ctx context.Context) {
	if l.opt.Progress == nil {
		return
	}
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			ended, served := l.record.Counts()
			l.opt.Progress(l.record.Now(), ended, served, l.edges.Ready())
		case <-ctx.Done():
			return
		}
	}
}

// pause waits for a part of the run's length.
func (l *lab) pause(ctx context.Context, part float64) {
	t := time.NewTimer(time.Duration(part * l.opt.Seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
