// Package wait waits for a duration or for the end of a context, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For waits for a duration. It returns false if ctx ended first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
