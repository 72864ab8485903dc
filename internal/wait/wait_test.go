package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestForWaitsUntilTheTimeOrTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		assert.Assert(t, For(ctx, time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		assert.Assert(t, !For(ctx, time.Hour))
		assert.Equal(t, time.Since(began), time.Minute)
		assert.Assert(t, !For(ctx, time.Hour), "it is over")
		assert.Equal(t, time.Since(began), time.Minute)
	})
}
