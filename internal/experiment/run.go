package experiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"oakseam/internal/emulator"
)

// Run runs the cells that are not in the store yet, several at a time, and stores each result at
// once. It returns how many cells it ran. If ctx ends it early, the next call runs the rest.
func Run(ctx context.Context, cells []Cell, s *Store, workers int, progress func(done, total int)) (completed int, err error) {
	var todo []*Cell
	for i := range cells {
		if !s.Has(cells[i].Key()) {
			todo = append(todo, &cells[i])
		}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var mu sync.Mutex
	next, done := 0, len(cells)-len(todo)
	var running sync.WaitGroup
	for range max(workers, 1) {
		running.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				if next == len(todo) {
					mu.Unlock()
					return
				}
				c := todo[next]
				next++
				mu.Unlock()
				began := time.Now()
				r, err := emulator.Run(c.scenario, c.Seed, emulator.Options{Policy: c.Policy, Progress: func(_, _ time.Duration) bool { return ctx.Err() == nil }})
				if err == nil {
					err = s.Put(&Record{*c, r, time.Since(began).Nanoseconds()})
				}
				if err != nil {
					if !errors.Is(err, emulator.ErrAborted) {
						stop(err)
					}
					return
				}
				mu.Lock()
				completed++
				done++
				progress(done, len(cells))
				mu.Unlock()
			}
		})
	}
	running.Wait()
	if completed < len(todo) {
		return completed, context.Cause(ctx)
	}
	return completed, nil
}
