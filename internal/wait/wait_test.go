package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestForWaitsForDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		assert.Assert(t, For(ctx, time.Second))
		assert.Equal(t, time.Since(start), time.Second)
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(start), time.Minute)
		assert.Assert(t, !For(ctx, time.Hour), "the context has ended")
		assert.Equal(t, time.Since(start), time.Minute)
	})
}
