// Package wait waits for a time or for a context's end, whichever comes first.
package wait

import (
	"context"
	"time"
)

// For waits for that long. It is false where ctx ended before.
func For(ctx context.Context, span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
