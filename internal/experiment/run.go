package experiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"pipitmux/internal/emulator"
)

// Run plays the cells that the store lacks, several at once, and keeps each as
// it ends. It returns how many it played; where ctx ends it, the rest is left
// for the next run.
func Run(ctx context.Context, list []Cell, s *Store, at int, progress func(done, of int)) (played int, err error) {
	var todo []*Cell
	for i := range list {
		if !s.Has(list[i].Key()) {
			todo = append(todo, &list[i])
		}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var mu sync.Mutex
	next, done := 0, len(list)-len(todo)
	var all sync.WaitGroup
	for range max(at, 1) {
		all.Go(func() {
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
				r, err := emulator.Run(c.sc, c.Seed, emulator.Options{Policy: c.Policy, Progress: func(_, _ time.Duration) bool { return ctx.Err() == nil }})
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
				played++
				done++
				progress(done, len(list))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if played < len(todo) {
		return played, context.Cause(ctx)
	}
	return played, nil
}
